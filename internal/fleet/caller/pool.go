// Package caller generates the load of a deployment with simulated callers. The load is
// open loop: requests start at their scheduled times whether or not earlier ones have been
// answered. For each request, a caller first asks a gateway which gateway to use. Some
// requests are sent more than once and some streams are abandoned. Callers verify every
// answer and log every step.
package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/internal/workload"
)

// Ratios holds the fractions of requests, 0 to 1, that are handled specially.
type Ratios struct {
	// Duplicated is the fraction of non-repeatable requests that are sent to two gateways
	// at once.
	Duplicated float64
	// Resent is the fraction of non-repeatable requests that are sent again after their
	// answer.
	Resent float64
	// Abandoned is the fraction of streams that the caller closes after a few events.
	Abandoned float64
}

// DefaultRatios returns ratios that exercise each treatment without distorting the load.
func DefaultRatios() Ratios {
	return Ratios{Duplicated: 0.10, Resent: 0.05, Abandoned: 0.01}
}

// Config configures a Pool.
type Config struct {
	// Gateways holds the gateways' caller addresses by region.
	Gateways map[string][]string
	// Regions lists the regions in the order in which a caller tries regions other than
	// its own.
	Regions []string
	Log     *eventlog.Writer
	Seed    uint64
	Ratios  Ratios
}

// Limits of the HTTP client and of the pool.
const (
	dialTimeout               = time.Second
	idleConnectionsPerGateway = 256
	idleTimeout               = 30 * time.Second
	maximumInFlight           = 4000
)

// Pool runs the callers of one run. Its methods are safe for concurrent use.
type Pool struct {
	config   Config
	client   *http.Client
	suspects *suspects
	inFlight sync.WaitGroup
	// slots is a semaphore that limits the number of requests in flight.
	slots chan struct{}

	mutex  sync.Mutex
	random *rand.Rand
}

// randomStream selects a random sequence for the callers that differs from others with the
// same seed.
const randomStream = 0x63616c6c

// New returns a pool that has not started any request.
func New(config Config) *Pool {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnectionsPerGateway,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Pool{
		config:   config,
		client:   &http.Client{Transport: transport},
		suspects: newSuspects(),
		slots:    make(chan struct{}, maximumInFlight),
		random:   rand.New(rand.NewPCG(config.Seed, randomStream)),
	}
}

// Generate starts the generator's requests at their arrival times until ctx ends. It does
// not wait for answers; use Wait for that.
func (p *Pool) Generate(ctx context.Context, generator *workload.Generator) {
	start := time.Now()
	for {
		arrival := generator.Next()
		timer := time.NewTimer(time.Until(start.Add(arrival.At)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		p.begin(arrival)
	}
}

// begin starts a request. If too many are in flight, it only logs that the request was not
// sent.
func (p *Pool) begin(arrival workload.Request) {
	select {
	case p.slots <- struct{}{}:
	default:
		p.config.Log.Write(eventlog.Event{Kind: eventlog.Note, Request: arrival.Generate.RequestID, Detail: "not sent: too many in flight"})
		return
	}
	drawn := p.draw(arrival)
	p.inFlight.Add(1)
	go func() {
		defer p.inFlight.Done()
		defer func() { <-p.slots }()
		newSession(p, arrival, drawn).run()
	}()
}

// Wait waits at most timeout for the requests in flight. It reports whether all of them have
// ended.
func (p *Pool) Wait(timeout time.Duration) bool {
	done := make(chan struct{})
	go func() {
		p.inFlight.Wait()
		close(done)
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
		p.client.CloseIdleConnections()
		return true
	case <-timer.C:
		return false
	}
}
