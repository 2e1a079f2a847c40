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
	// Wait is how long the client waits, counted from Arrived; 0 is not told.
	Wait    time.Duration
	Arrived time.Time
	// Chain are the shared parts of the prompt, Tokens the whole prompt.
	Chain  []placement.Link
	Tokens float64
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
	// After is the id of the last event that the client has; empty to begin.
	After string
}

// Answer is the head of a replica's answer and its body to be read.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Events says that the body is a series of events.
	Events bool
}

// Failure is why an attempt brought no answer.
type Failure string

// Failures of attempts.
const (
	// Unsent: the replica has seen nothing of the request.
	Unsent Failure = "unsent"
	// Full: the replica refused, and the request did not run.
	Full Failure = "full"
	// Replaced: another replica has the address; the request did not run.
	Replaced Failure = "replaced"
	// Broken: the request may have run.
	Broken Failure = "broken"
)

// AttemptError is the error of an attempt without an answer.
type AttemptError struct {
	Failure Failure
	// RetryAfter is when a full replica wants to be asked again, 0 if not told.
	RetryAfter time.Duration
	// Silent says of an unsent attempt that nothing at all came back.
	Silent bool
	Err    error
}

func (e *AttemptError) Error() string { return "dispatch: " + string(e.Failure) + ": " + e.Err.Error() }

func (e *AttemptError) Unwrap() error { return e.Err }

// Backend sends attempts to replicas.
type Backend interface {
	// Send returns when the head of the answer is here. The error is an
	// *AttemptError. The end of ctx breaks the attempt off.
	Send(ctx context.Context, attempt *Attempt) (*Answer, error)
	// Heard returns when bytes last came from an address.
	Heard(address string) time.Time
	// Idle says whether a connection to an address is open and free.
	Idle(address string) bool
	// Forget drops what is kept of an address.
	Forget(address string)
}

// Client takes the answer to a request.
type Client interface {
	// Begin sends the head of an answer. It is called at most once.
	Begin(status int, header http.Header)
	// Write sends a part of the body, and Flush what was written.
	Write(part []byte) (int, error)
	Flush()
}

// Code says why a request was not served.
type Code string

// Codes of refusals. Those up to NoTime say that the request has not run.
const (
	NotReady   Code = "not_ready"   // no configuration is known here yet
	NoRoute    Code = "no_route"    // the configuration has no route for it
	NoReplica  Code = "no_replica"  // no replica may take it now
	Overloaded Code = "overloaded"  // it would wait too long
	NoTime     Code = "no_time"     // its time ended before it was sent
	Unknown    Code = "unknown"     // it may have run; its answer is lost
	TimedOut   Code = "timed_out"   // it may have run; its time is over
	ClientGone Code = "client_gone" // nobody waits for the answer
)

// RequestError is why a request was not served. Begun says that a part of an answer
// was sent, so that only breaking it off remains.
type RequestError struct {
	Code       Code
	RetryAfter time.Duration
	Begun      bool
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
	// Placed, if set, is told of each prompt that a replica was given to read. It
	// must not block.
	Placed func(prompt peer.PlacedPrompt)
	// Read, if set, is told of each prompt that a replica of the own region read
	// alone. It must not block.
	Read func(prompt peer.PrefillSample)
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
	Requests uint64
	Served   uint64
	Attempts uint64
	Retries  uint64
	Resumed  uint64
	Refused  map[Code]uint64
	Failed   map[Failure]uint64
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
		counts:    Counts{Refused: make(map[Code]uint64), Failed: make(map[Failure]uint64)},
	}
}

// Counts returns the totals since the start.
func (d *Dispatcher) Counts() Counts {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	counts := d.counts
	counts.Refused = make(map[Code]uint64, len(d.counts.Refused))
	for code, count := range d.counts.Refused {
		counts.Refused[code] = count
	}
	counts.Failed = make(map[Failure]uint64, len(d.counts.Failed))
	for failure, count := range d.counts.Failed {
		counts.Failed[failure] = count
	}
	return counts
}

// Ready says whether a configuration is known.
func (d *Dispatcher) Ready() bool { return d.plan.Load() != nil }
