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
	// Path is matched against the routes. Target is the request target that is sent to the
	// replica unchanged.
	Path   string
	Target string
	// Header is sent to the replica. The Dispatcher does not read it.
	Header http.Header
	Body   []byte
	// ClientTimeout is how long after Arrived the client waits for the response; 0 if that
	// is not known.
	ClientTimeout time.Duration
	Arrived       time.Time
	// PrefixChain is the chain of the prompt's shared prefixes, and PromptTokens is the
	// length of the whole prompt.
	PrefixChain  []placement.Link
	PromptTokens float64
}

// ResponseWriter receives the response to a request.
type ResponseWriter interface {
	// WriteHead sends the head of the response. It is called at most once.
	WriteHead(status int, header http.Header)
	// Write writes the next part of the body.
	Write(part []byte) (int, error)
	// Flush sends all buffered data to the client.
	Flush()
}

// Code is the reason why a request was not served.
type Code string

// Codes of request errors. The codes up to CodeExpiredUnsent guarantee that the request has
// not run.
const (
	CodeNotReady       Code = "not_ready"   // no configuration has arrived yet
	CodeNoRoute        Code = "no_route"    // the configuration has no route for the request
	CodeNoReplica      Code = "no_replica"  // no replica is available
	CodeOverloaded     Code = "overloaded"  // the replicas reject requests, or the request would wait too long
	CodeExpiredUnsent  Code = "no_time"     // the deadline passed before the request was sent
	CodeOutcomeUnknown Code = "unknown"     // the request may have run, and its response is lost
	CodeTimedOut       Code = "timed_out"   // the request may have run, and its deadline has passed
	CodeClientClosed   Code = "client_gone" // the client has closed its connection
)

// RequestError is the error of a request that was not served.
type RequestError struct {
	Code Code
	// RetryAfter is the time after which the client may retry a request that has not run;
	// 0 if that is not known or the request may have run.
	RetryAfter time.Duration
	// ResponseStarted is set if a part of the response was sent. The caller can then only
	// abort the response.
	ResponseStarted bool
}

func (e *RequestError) Error() string { return "dispatch: " + string(e.Code) }

// hasNotRun reports whether the code guarantees that the request has not run.
func (c Code) hasNotRun() bool {
	switch c {
	case CodeNotReady, CodeNoRoute, CodeNoReplica, CodeOverloaded, CodeExpiredUnsent:
		return true
	default:
		return false
	}
}

const (
	// overloadedRetryAfter is the time after which a client may retry a request that was
	// rejected because of load, and noReplicaRetryAfter is that for a request without an
	// available replica.
	overloadedRetryAfter = 400 * time.Millisecond
	noReplicaRetryAfter  = 500 * time.Millisecond
	// notReadyRetryAfter is the time in which a gateway that has just started is likely
	// to receive its configuration.
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
