// Package dispatch carries requests that are routed by host and path to replicas
// of any HTTP kind: it finds the route, chooses a replica, sends the request at
// most as often as the route permits, and relays the answer. It knows no header
// names: a Backend sends the attempts, a Client takes the answer.
package dispatch

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/placement"
	"github.com/deckpulley/deckpulley/retry"
)

// Request is one request of a client.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path is compared with the routes; Target is sent on unchanged.
	Path   string
	Target string
	// Header is passed to the replica. The dispatcher does not read it.
	Header http.Header
	Body   []byte
	// ClientTimeout is how long the client waits, counted from Arrived; 0 is not told.
	ClientTimeout time.Duration
	Arrived       time.Time
	// PrefixChain are the shared parts of the prompt, Tokens the whole prompt.
	PrefixChain  []placement.Link
	PromptTokens float64
}

// Endpoint names one incarnation of one replica.
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
	// LastEventID is the id of the last event that the client has; empty to begin.
	LastEventID string
}

// Response is the head of a replica's answer and its body to be read.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// EventStream says that the body is a series of events.
	EventStream bool
}

// FailureReason is why an attempt brought no answer.
type FailureReason string

// Failures of attempts.
const (
	// FailureUnsent: the replica has seen nothing of the request.
	FailureUnsent FailureReason = "unsent"
	// FailureRejected: the replica refused, and the request did not run.
	FailureRejected FailureReason = "full"
	// FailureReplaced: another replica has the address; the request did not run.
	FailureReplaced FailureReason = "replaced"
	// FailureIndeterminate: the request may have run.
	FailureIndeterminate FailureReason = "broken"
)

// AttemptError is the error of an attempt without an answer.
type AttemptError struct {
	Reason FailureReason
	// RetryAfter is when a full replica wants to be asked again, 0 if not told.
	RetryAfter time.Duration
	// NoResponse says of an unsent attempt that nothing at all came back.
	NoResponse bool
	Err        error
}

func (e *AttemptError) Error() string { return "dispatch: " + string(e.Reason) + ": " + e.Err.Error() }

func (e *AttemptError) Unwrap() error { return e.Err }

// Backend sends attempts to replicas.
type Backend interface {
	// Send returns when the head of the answer is here. The error is an
	// *AttemptError. The end of ctx breaks the attempt off.
	Send(ctx context.Context, attempt *Attempt) (*Response, error)
	// LastReceived returns when bytes last came from an address.
	LastReceived(address string) time.Time
	// HasIdleConnection says whether a connection to an address is open and free.
	HasIdleConnection(address string) bool
	// CloseIdleConnections drops what is kept of an address.
	CloseIdleConnections(address string)
}

// ResponseWriter takes the answer to a request.
type ResponseWriter interface {
	// WriteHead sends the head of an answer. It is called at most once.
	WriteHead(status int, header http.Header)
	// Write sends a part of the body, and Flush what was written.
	Write(part []byte) (int, error)
	Flush()
}

// Code says why a request was not served.
type Code string

// Codes of refusals. Those up to CodeExpiredUnsent say that the request has not run.
const (
	CodeNotReady       Code = "not_ready"   // no configuration is known here yet
	CodeNoRoute        Code = "no_route"    // the configuration has no route for it
	CodeNoReplica      Code = "no_replica"  // no replica may take it now
	CodeOverloaded     Code = "overloaded"  // it would wait too long
	CodeExpiredUnsent  Code = "no_time"     // its time ended before it was sent
	CodeOutcomeUnknown Code = "unknown"     // it may have run; its answer is lost
	CodeTimedOut       Code = "timed_out"   // it may have run; its time is over
	CodeClientClosed   Code = "client_gone" // nobody waits for the answer
)

// RequestError is why a request was not served. Begun says that a part of an answer
// was sent, so that only breaking it off remains.
type RequestError struct {
	Code            Code
	RetryAfter      time.Duration
	ResponseStarted bool
}

func (r *RequestError) Error() string { return "dispatch: " + string(r.Code) }

// Options sets up a Dispatcher.
type Options struct {
	// Gateway is this gateway's name; Zone and Region say where it stands.
	Gateway string
	Zone    string
	Region  string
	Backend Backend
	// Bounds are what all gateways together are granted.
	Bounds Bounds
	// OnPlaced, if set, is told of each prompt that a replica was given to read. It
	// must not block.
	OnPlaced func(prompt peer.PlacedPrompt)
	// OnPrefill, if set, is told of each prompt that a replica of the own region read
	// alone. It must not block.
	OnPrefill func(prompt peer.PrefillSample)
	// Random draws from [0, 1). Default math/rand/v2.
	Random func() float64
	Logger *slog.Logger
}

// Dispatcher carries the requests of one gateway. It is safe for concurrent use.
type Dispatcher struct {
	options Options
	log     *slog.Logger
	plan    atomic.Pointer[plan]
	planned chan struct{} // closed with the first plan

	mutex    sync.Mutex
	replicas map[string]*replica
	byKey    map[peer.ReplicaKey]*replica
	services map[string]*service
	budget   *retry.Budget
	loads    loadBoard
	zones    map[string]*zoneWatch
	// distances are those from this gateway.
	distances distances
	counts    Counts
}

// Counts are totals since the start.
type Counts struct {
	Requests       uint64
	Served         uint64
	Attempts       uint64
	Retries        uint64
	Resumed        uint64
	Rejected       map[Code]uint64
	FailedAttempts map[FailureReason]uint64
}

// New returns a dispatcher without a plan: it refuses everything as not ready.
func New(options Options) *Dispatcher {
	if options.Random == nil {
		options.Random = rand.Float64
	}
	if options.Logger == nil {
		options.Logger = slog.Default()
	}
	options.Bounds = options.Bounds.withDefaults()
	return &Dispatcher{
		options:  options,
		log:      options.Logger,
		planned:  make(chan struct{}),
		replicas: make(map[string]*replica),
		byKey:    make(map[peer.ReplicaKey]*replica),
		services: make(map[string]*service),
		budget:   retry.NewBudget(options.Bounds.retryRatio()),
		loads:    newLoadBoard(),
		zones:    make(map[string]*zoneWatch),

		distances: newDistances(),
		counts:    Counts{Rejected: make(map[Code]uint64), FailedAttempts: make(map[FailureReason]uint64)},
	}
}

// Counts returns the totals since the start.
func (d *Dispatcher) Counts() Counts {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	counts := d.counts
	counts.Rejected = make(map[Code]uint64, len(d.counts.Rejected))
	for code, count := range d.counts.Rejected {
		counts.Rejected[code] = count
	}
	counts.FailedAttempts = make(map[FailureReason]uint64, len(d.counts.FailedAttempts))
	for failure, count := range d.counts.FailedAttempts {
		counts.FailedAttempts[failure] = count
	}
	return counts
}

// Ready says whether a configuration is known.
func (d *Dispatcher) Ready() bool { return d.plan.Load() != nil }
