// Package caller is the callers of a deployment: an open-loop load that asks
// where to go, sends requests, resends some of them, hangs up on some, verifies
// every answer by itself and logs all of it.
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

// Shares are the parts of the requests that get a special treatment, 0 to 1.
type Shares struct {
	// Double is sent to two gateways at once; non-repeatable requests alone.
	Double float64
	// Again is sent once more after its answer; non-repeatable requests alone.
	Again float64
	// Abandoned streams are hung up on after a few events.
	Abandoned float64
}

// DefaultShares exercise each treatment without distorting the load.
func DefaultShares() Shares {
	return Shares{Double: 0.10, Again: 0.05, Abandoned: 0.01}
}

// Config describes the callers.
type Config struct {
	// Gateways lists callers' addresses by region, Regions in their order.
	Gateways map[string][]string
	Regions  []string
	Log      *eventlog.Writer
	Seed     uint64
	Shares   Shares
}

// Bounds of the callers' clients.
const (
	dialTimeout     = time.Second
	idlePerGateway  = 256
	idleTimeout     = 30 * time.Second
	maximumInFlight = 4000
)

// Pool is the callers of one run.
type Pool struct {
	config  Config
	client  *http.Client
	avoided *avoidance
	running sync.WaitGroup
	// slots bounds the requests in flight.
	slots chan struct{}

	mutex  sync.Mutex
	random *rand.Rand
}

// New returns callers that have not begun.
func New(config Config) *Pool {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerGateway,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Pool{
		config:  config,
		client:  &http.Client{Transport: transport},
		avoided: newAvoidance(),
		slots:   make(chan struct{}, maximumInFlight),
		random:  rand.New(rand.NewPCG(config.Seed, 0x63616c6c)),
	}
}

// Generate sends what the generator draws, on its times, until ctx ends.
// Requests in progress go on; Wait waits for them.
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

func (p *Pool) begin(arrival workload.Request) {
	select {
	case p.slots <- struct{}{}:
	default:
		p.config.Log.Write(eventlog.Event{Kind: eventlog.Note, Request: arrival.Generate.RequestID, Detail: "not sent: too many in flight"})
		return
	}
	plan := p.plan(arrival)
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		defer func() { <-p.slots }()
		newSession(p, arrival, plan).run()
	}()
}

// Wait waits for the requests in progress, or for patience.
func (p *Pool) Wait(patience time.Duration) bool {
	done := make(chan struct{})
	go func() {
		p.running.Wait()
		close(done)
	}()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-done:
		p.client.CloseIdleConnections()
		return true
	case <-timer.C:
		return false
	}
}

// plan is how one request is treated, drawn in the order of the arrivals.
type plan struct {
	entries []string // gateways to ask, in order
	double  bool
	again   bool
	abandon bool
}

func (p *Pool) plan(arrival workload.Request) plan {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	shares := p.config.Shares
	drawn := plan{entries: p.entries(arrival.Region)}
	once := !arrival.Generate.Repeatable
	draw := p.random.Float64()
	switch {
	case once && draw < shares.Double:
		drawn.double = true
	case once && draw < shares.Double+shares.Again:
		drawn.again = true
	}
	drawn.abandon = arrival.Generate.Stream && !drawn.double && p.random.Float64() < shares.Abandoned
	return drawn
}

// entries orders the gateways: those of the caller's region first, each group
// from a random one on, and those that failed lately last.
func (p *Pool) entries(region string) []string {
	list := rotated(p.config.Gateways[region], p.random)
	for _, other := range p.config.Regions {
		if other != region {
			list = append(list, rotated(p.config.Gateways[other], p.random)...)
		}
	}
	return p.avoided.last(list)
}

func rotated(list []string, random *rand.Rand) []string {
	if len(list) == 0 {
		return nil
	}
	from := random.IntN(len(list))
	return append(append([]string(nil), list[from:]...), list[:from]...)
}

// avoidTime is how long a gateway that failed is asked last.
const avoidTime = 3 * time.Second

// avoidance remembers gateways that could not be reached.
type avoidance struct {
	mutex sync.Mutex
	until map[string]time.Time
}

func newAvoidance() *avoidance { return &avoidance{until: map[string]time.Time{}} }

func (a *avoidance) add(gateway string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.until[gateway] = time.Now().Add(avoidTime)
}

// last moves avoided gateways to the end.
func (a *avoidance) last(list []string) []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	var good, bad []string
	for _, gateway := range list {
		if now.Before(a.until[gateway]) {
			bad = append(bad, gateway)
			continue
		}
		good = append(good, gateway)
	}
	return append(good, bad...)
}
