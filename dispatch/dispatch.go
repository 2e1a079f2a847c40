// Package dispatch forwards requests that are routed by host and path to replicas that
// serve HTTP of any kind. It looks up the route, selects a replica, sends the request at
// most as often as the route permits, and relays the response. It knows no names of
// headers: a Backend sends the attempts, and a ResponseWriter receives the response.
//
// A request is forwarded in a transaction of one or more attempts. A RequestError is
// honest about them: only a code that says that the request has not run may be followed
// by a retry of a request that must run at most once.
package dispatch

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/retry"
)

// Options configure a Dispatcher.
type Options struct {
	// Gateway is the name of the own gateway, and Zone and Region its location.
	Gateway string
	Zone    string
	Region  string
	// Backend sends the attempts. It is required.
	Backend Backend
	// Bounds limit all gateways together. A zero field stands for its default.
	Bounds Bounds
	// OnPlaced, if set, is called for each prompt that is placed at a replica. It must
	// not block.
	OnPlaced func(prompt peer.PlacedPrompt)
	// OnPrefill, if set, is called for each measurement of the prefill speed of a
	// replica in the own region. It must not block.
	OnPrefill func(sample peer.PrefillSample)
	// Random draws from [0, 1). Default math/rand/v2.
	Random func() float64
	// Logger defaults to slog.Default.
	Logger *slog.Logger
}

// Dispatcher forwards the requests of one gateway. It is safe for concurrent use.
type Dispatcher struct {
	options Options
	log     *slog.Logger
	// snapshot is nil until the first configuration is known.
	snapshot atomic.Pointer[snapshot]
	// ready is closed when snapshot is set for the first time.
	ready chan struct{}

	// mutex guards what follows, replicas and services included.
	mutex      sync.Mutex
	replicas   map[string]*replica
	byKey      map[peer.ReplicaKey]*replica
	services   map[string]*service
	budget     *retry.Budget
	loads      loadTable
	zones      map[string]*zoneHealth
	roundTrips roundTrips
	counts     Counts
}

// Counts are totals since the start.
type Counts struct {
	Requests uint64
	// Served counts requests whose whole response was relayed.
	Served   uint64
	Attempts uint64
	// Retries counts attempts after one that reached a replica, and Resumed those of
	// them that continued an event stream.
	Retries        uint64
	Resumed        uint64
	Rejected       map[Code]uint64
	FailedAttempts map[FailureReason]uint64
}

// New returns a Dispatcher that rejects requests with CodeNotReady until Update is
// called with a configuration.
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
		budget:     retry.NewBudget(options.Bounds.retryRatio()),
		loads:      newLoadTable(),
		zones:      make(map[string]*zoneHealth),
		roundTrips: newRoundTrips(),
		counts:     Counts{Rejected: make(map[Code]uint64), FailedAttempts: make(map[FailureReason]uint64)},
	}
}

// Counts returns the totals since the start.
func (d *Dispatcher) Counts() Counts {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	counts := d.counts
	counts.Rejected = maps.Clone(d.counts.Rejected)
	counts.FailedAttempts = maps.Clone(d.counts.FailedAttempts)
	return counts
}

// Ready reports whether a configuration is known.
func (d *Dispatcher) Ready() bool { return d.snapshot.Load() != nil }
