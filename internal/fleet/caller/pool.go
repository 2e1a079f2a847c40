// Package caller generates the load of a deployment as its callers do: open loop,
// each request first asks which gateway to use. Some requests are sent more than
// once and some streams are abandoned. Callers verify every answer themselves and
// log all of it.
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

// Ratios are the fractions of requests, 0 to 1, that get a special treatment.
type Ratios struct {
	// Duplicated requests are sent to two gateways at once; non-repeatable ones only.
	Duplicated float64
	// Resent requests are sent once more after their answer; non-repeatable ones only.
	Resent float64
	// Abandoned streams are closed by their caller after a few events.
	Abandoned float64
}

// DefaultRatios exercise each treatment without distorting the load.
func DefaultRatios() Ratios {
	return Ratios{Duplicated: 0.10, Resent: 0.05, Abandoned: 0.01}
}

// Config describes the callers.
type Config struct {
	// Gateways lists the addresses for callers by region.
	Gateways map[string][]string
	// Regions are the regions in the order in which those of others are tried.
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

// Pool holds the callers of one run. Its methods are safe for concurrent use.
type Pool struct {
	config   Config
	client   *http.Client
	suspects *suspects
	inFlight sync.WaitGroup
	// slots is a semaphore that bounds the requests in flight.
	slots chan struct{}

	mutex  sync.Mutex
	random *rand.Rand
}

// randomStream distinguishes the callers' random numbers from others of one seed.
const randomStream = 0x63616c6c

// New returns callers that have not begun.
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

// Generate sends what the generator draws, at the times drawn, until ctx ends. It
// does not wait for answers; Wait does.
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

// begin starts a request, unless too many are in flight.
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

// Wait waits for the requests in flight, for at most timeout. It reports whether all
// of them have ended.
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
