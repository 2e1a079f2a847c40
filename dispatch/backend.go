package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Endpoint identifies one incarnation of a replica.
type Endpoint struct {
	ID      string
	Address string
}

// Attempt is one sending of a request to one replica.
type Attempt struct {
	Request  *Request
	Replica  Endpoint
	Deadline time.Time
	// Priority ranks the request at the replica; 0 is the most urgent.
	Priority int
	// LastEventID is the id of the last event that the client has received, "" if the
	// stream is to start from its beginning.
	LastEventID string
}

// Response is the head of a replica's response, and its body to be read.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// EventStream says that the body is a text/event-stream.
	EventStream bool
}

// FailureReason is why an attempt has no response.
type FailureReason string

// Reasons of failed attempts.
const (
	// FailureUnsent: no byte of the request reached the replica.
	FailureUnsent FailureReason = "unsent"
	// FailureRejected: the replica rejected the request, which has not run.
	FailureRejected FailureReason = "full"
	// FailureReplaced: another replica has the address; the request has not run.
	FailureReplaced FailureReason = "replaced"
	// FailureIndeterminate: the request may have run.
	FailureIndeterminate FailureReason = "broken"
)

// AttemptError is the error of an attempt without a response.
type AttemptError struct {
	Reason FailureReason
	// RetryAfter is when a replica that rejected the request may be tried again; 0 if
	// it did not say.
	RetryAfter time.Duration
	// NoResponse says of an unsent attempt that nothing at all came back, as from a
	// connection that timed out.
	NoResponse bool
	Err        error
}

func (e *AttemptError) Error() string { return "dispatch: " + string(e.Reason) + ": " + e.Err.Error() }

func (e *AttemptError) Unwrap() error { return e.Err }

// Backend sends attempts to replicas.
type Backend interface {
	// Send returns when the head of the response has arrived. Its error is an
	// *AttemptError. The end of ctx aborts the attempt.
	Send(ctx context.Context, attempt *Attempt) (*Response, error)
	// LastReceived returns when bytes were last received from an address.
	LastReceived(address string) time.Time
	// HasIdleConnection reports whether an open connection to an address is idle.
	HasIdleConnection(address string) bool
	// CloseIdleConnections closes the idle connections to an address and forgets it.
	CloseIdleConnections(address string)
}
