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

// Attempt is one attempt to send a request to one replica.
type Attempt struct {
	Request  *Request
	Replica  Endpoint
	Deadline time.Time
	// Priority ranks the request at the replica; 0 is the most urgent.
	Priority int
	// LastEventID is the id of the last event that was relayed to the client; "" requests
	// the stream from its beginning.
	LastEventID string
}

// Response is the head of a replica's response and its unread body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// EventStream is set if the body is a text/event-stream.
	EventStream bool
}

// FailureReason is the reason why an attempt has no response.
type FailureReason string

// Reasons for failed attempts.
const (
	// FailureUnsent: no byte of the request reached the replica.
	FailureUnsent FailureReason = "unsent"
	// FailureRejected: the replica rejected the request, which has not run.
	FailureRejected FailureReason = "full"
	// FailureReplaced: another replica now has the address; the request has not run.
	FailureReplaced FailureReason = "replaced"
	// FailureIndeterminate: the request may or may not have run.
	FailureIndeterminate FailureReason = "broken"
)

// AttemptError is the error of an attempt without a response.
type AttemptError struct {
	Reason FailureReason
	// RetryAfter is the time after which a replica that rejected the request accepts
	// attempts again; 0 if the replica did not specify one.
	RetryAfter time.Duration
	// NoResponse is set for an unsent attempt if the address did not respond at all, for
	// example if connecting to it timed out.
	NoResponse bool
	Err        error
}

func (e *AttemptError) Error() string { return "dispatch: " + string(e.Reason) + ": " + e.Err.Error() }

func (e *AttemptError) Unwrap() error { return e.Err }

// Backend sends attempts to replicas.
type Backend interface {
	// Send sends an attempt and returns when the head of the response has arrived. Its
	// error is an *AttemptError. Cancellation of ctx aborts the attempt.
	Send(ctx context.Context, attempt *Attempt) (*Response, error)
	// LastReceived returns the time at which bytes were last received from an address.
	LastReceived(address string) time.Time
	// HasIdleConnection reports whether an open connection to an address is idle.
	HasIdleConnection(address string) bool
	// CloseIdleConnections closes the idle connections to an address and removes the
	// state of the address.
	CloseIdleConnections(address string)
}
