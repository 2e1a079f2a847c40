// Package dispatch forwards requests that are routed by host and path to replicas that
// serve HTTP. It looks up the route, selects a replica, sends the request at most as often
// as the route permits, and relays the response. It is independent of the names of
// headers: a Backend sends the attempts, and a ResponseWriter receives the response.
//
// A request is forwarded in a transaction of one or more attempts. The code of a
// RequestError states whether the request may have run in any of them. A request that must
// run at most once may be retried only after a code which guarantees that it has not run.
package dispatch

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/deckpulley/deckpulley/peer"
)

// Options configure a Dispatcher.
type Options struct {
	// Gateway is the name of this gateway, and Zone and Region are its location.
	Gateway string
	Zone    string
	Region  string
	// Backend sends the attempts. It is required.
	Backend Backend
	// Bounds are limits on all gateways together. A zero field selects the default.
	Bounds Bounds
	// OnPlaced, if set, is called for each prompt that is placed at a replica, and again
	// with a negative prefill time if the placement is canceled. It must not block.
	OnPlaced func(prompt peer.PlacedPrompt)
	// OnPrefill, if set, is called for each measurement of the prefill speed of a
	// replica in this gateway's region. It must not block.
	OnPrefill func(sample peer.PrefillSample)
	// Random returns random numbers in [0, 1). It defaults to math/rand/v2.Float64.
	Random func() float64
	// Logger defaults to slog.Default.
	Logger *slog.Logger
}

// Dispatcher forwards the requests of one gateway. It is safe for concurrent use.
type Dispatcher struct {
	options Options
	log     *slog.Logger
	// snapshot is nil until the first configuration has arrived.
	snapshot atomic.Pointer[snapshot]
	// ready is closed when snapshot is set for the first time.
	ready chan struct{}

	// mutex guards the following fields, and the contents of the replicas and services.
	mutex      sync.Mutex
	replicas   map[string]*replica
	byKey      map[peer.ReplicaKey]*replica
	services   map[string]*service
	loads      loadTable
	zones      map[string]*zoneHealth
	roundTrips roundTrips
	counts     Counts
}

// Counts are totals since the Dispatcher was created.
type Counts struct {
	Requests uint64
	// Served counts requests whose complete response was relayed.
	Served   uint64
	Attempts uint64
	// Retries counts the attempts that followed one which had reached a replica, and
	// Resumed those among them that continued an event stream.
	Retries uint64
	Resumed uint64
	// Failed counts all requests that ended with an error, by its code, including those
	// that may have run.
	Failed map[Code]uint64
	// FailedAttempts counts the attempts without a complete response, by reason.
	FailedAttempts map[FailureReason]uint64
}

// New returns a Dispatcher. It rejects requests with CodeNotReady until Update is called
// with a registry state that contains a configuration.
func New(options Options) *Dispatcher {
	if options.Random == nil {
		options.Random = rand.Float64
	}
	if options.Logger == nil {
		options.Logger = slog.Default()
	}
	options.Bounds = options.Bounds.withDefaults()
	return &Dispatcher{
		options:    options,
		log:        options.Logger,
		ready:      make(chan struct{}),
		replicas:   make(map[string]*replica),
		byKey:      make(map[peer.ReplicaKey]*replica),
		services:   make(map[string]*service),
		loads:      newLoadTable(),
		zones:      make(map[string]*zoneHealth),
		roundTrips: newRoundTrips(),
		counts:     Counts{Failed: make(map[Code]uint64), FailedAttempts: make(map[FailureReason]uint64)},
	}
}

// Counts returns a copy of the totals.
func (d *Dispatcher) Counts() Counts {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	counts := d.counts
	counts.Failed = maps.Clone(d.counts.Failed)
	counts.FailedAttempts = maps.Clone(d.counts.FailedAttempts)
	return counts
}

// Ready reports whether a configuration has arrived.
func (d *Dispatcher) Ready() bool { return d.snapshot.Load() != nil }
