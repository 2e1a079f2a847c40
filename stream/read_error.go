package stream

import (
	"fmt"

	"github.com/deckpulley/deckpulley/api"
)

// ReadError is the reason why a stream is not complete and valid.
type ReadError struct {
	// Code is one of api.CodeReplicaBroken, CodeReplicaMismatch,
	// CodeReplicaIncomplete and CodeReplicaStalled.
	Code api.Code
	// Reason is the reason in words. Callers may see it, so it keeps to the words of
	// the API, where a chunk is a piece.
	Reason string
	// Cause is the error of the source, if there is one.
	Cause error
}

// Error implements the error interface.
func (e *ReadError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("stream: %s: %s: %v", e.Code, e.Reason, e.Cause)
	}
	return fmt.Sprintf("stream: %s: %s", e.Code, e.Reason)
}

// Unwrap returns the error of the source.
func (e *ReadError) Unwrap() error { return e.Cause }

func readErrorf(code api.Code, format string, arguments ...any) *ReadError {
	return &ReadError{Code: code, Reason: fmt.Sprintf(format, arguments...)}
}
