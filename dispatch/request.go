package dispatch

import (
	"net/http"
	"time"

	"github.com/deckpulley/deckpulley/placement"
)

// Request is one request of a client.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path is matched against the routes. Target is sent to the replica unchanged.
	Path   string
	Target string
	// Header is sent to the replica. The Dispatcher does not read it.
	Header http.Header
	Body   []byte
	// ClientTimeout is how long the client waits from Arrived on; 0 if it is not known.
	ClientTimeout time.Duration
	Arrived       time.Time
	// PrefixChain are the shared prefixes of the prompt, and PromptTokens is the size of
	// the whole prompt.
	PrefixChain  []placement.Link
	PromptTokens float64
}

// ResponseWriter receives the response to a request.
type ResponseWriter interface {
	// WriteHead sends the head of the response. It is called at most once.
	WriteHead(status int, header http.Header)
	// Write writes a part of the body.
	Write(part []byte) (int, error)
	// Flush sends what was written.
	Flush()
}

// Code says why a request was not served.
type Code string

// Codes of request errors. Those up to CodeExpiredUnsent say that the request has not
// run.
const (
	CodeNotReady       Code = "not_ready"   // no configuration is known yet
	CodeNoRoute        Code = "no_route"    // the configuration has no route for the request
	CodeNoReplica      Code = "no_replica"  // no replica is available
	CodeOverloaded     Code = "overloaded"  // the request would wait too long
	CodeExpiredUnsent  Code = "no_time"     // the deadline passed before the request was sent
	CodeOutcomeUnknown Code = "unknown"     // the request may have run, and its response is lost
	CodeTimedOut       Code = "timed_out"   // the request may have run, and its deadline has passed
	CodeClientClosed   Code = "client_gone" // the client has closed its connection
)

// RequestError is why a request was not served.
type RequestError struct {
	Code Code
	// RetryAfter is when the client may retry a request that has not run; 0 if it is
	// not known.
	RetryAfter time.Duration
	// ResponseStarted says that a part of the response was sent, so that the caller can
	// only abort the response.
	ResponseStarted bool
}

func (e *RequestError) Error() string { return "dispatch: " + string(e.Code) }

// hasNotRun reports whether a code says that the request has not run.
func (c Code) hasNotRun() bool {
	switch c {
	case CodeNotReady, CodeNoRoute, CodeNoReplica, CodeOverloaded, CodeExpiredUnsent:
		return true
	default:
		return false
	}
}

const (
	// overloadedRetryAfter is when a request may be retried that was rejected because of
	// load, and noReplicaRetryAfter one for which no replica was available.
	overloadedRetryAfter = 400 * time.Millisecond
	noReplicaRetryAfter  = 500 * time.Millisecond
	// notReadyRetryAfter is when a gateway that has just started is likely to have its
	// configuration.
	notReadyRetryAfter = 600 * time.Millisecond
)

// overloadedError returns the error of a request that was rejected because of load.
func overloadedError() *RequestError {
	return &RequestError{Code: CodeOverloaded, RetryAfter: overloadedRetryAfter}
}

// noReplicaError returns the error of a request for which no replica is available.
func noReplicaError() *RequestError {
	return &RequestError{Code: CodeNoReplica, RetryAfter: noReplicaRetryAfter}
}
