package stream

import (
	"fmt"

	"github.com/deckpulley/deckpulley/api"
)

// ReadError reports that a stream is invalid or incomplete.
type ReadError struct {
	// Code is one of api.CodeReplicaBroken, CodeReplicaMismatch,
	// CodeReplicaIncomplete and CodeReplicaStalled.
	Code api.Code
	// Reason describes the error. The gateway may send it to callers, so it uses the
	// terms of the API, which calls a chunk a piece.
	Reason string
	// Cause is the error that the source returned; nil if there is none.
	Cause error
}

// Error implements the error interface.
func (e *ReadError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("stream: %s: %s: %v", e.Code, e.Reason, e.Cause)
	}
	return fmt.Sprintf("stream: %s: %s", e.Code, e.Reason)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// readErrorf returns a ReadError without a cause, whose reason is formatted as by
// fmt.Sprintf.
func readErrorf(code api.Code, format string, arguments ...any) *ReadError {
	return &ReadError{Code: code, Reason: fmt.Sprintf(format, arguments...)}
}
