package dispatch

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/placement"
	"github.com/deckpulley/deckpulley/routemap"
)

// The placement is compared with an omniscient one for the same requests and replicas. The
// omniscient placement always knows the current queue and cache of every replica. The fleet
// has a sixth of the size of a large deployment, with the same proportions of gateways,
// replicas and requests.
const (
	gatewaysPerZone = 22
	replicasPerZone = 12
	optimumLength   = 8 * time.Second
	// reviewsPerSecond and asksPerSecond are rates per replica.
	reviewsPerSecond   = 1.6
	asksPerSecond      = 3.5
	reviewSharedTokens = 5400
	reviewOwnTokens    = 6600
	maxReviewTokens    = 60_000
	askSharedTokens    = 570
	askOwnTokens       = 1800
	sharedPrefixes     = 40
)

// timedClient records the time at which its response began.
type timedClient struct {
	recorder
	began time.Time
}

func (c *timedClient) WriteHead(status int, header http.Header) {
	c.began = time.Now()
	c.recorder.WriteHead(status, header)
}

// kindOutcome is the outcome of the requests of one kind.
type kindOutcome struct {
	times    []time.Duration // to the first event
	late     int
	rejected int
}

// lateRatio returns the ratio of requests that were late or rejected.
func (o *kindOutcome) lateRatio() float64 {
	return float64(o.late+o.rejected) / float64(max(1, len(o.times)+o.rejected))
}

// quantile returns a quantile of the time to the first event.
func (o *kindOutcome) quantile(fraction float64) time.Duration {
	if len(o.times) == 0 {
		return 0
	}
	slices.Sort(o.times)
	return o.times[int(fraction*float64(len(o.times)-1))].Round(time.Millisecond)
}

// optimumFleet is a fleet without faults, whose requests are placed by its dispatchers or by
// the omniscient placement.
type optimumFleet struct {
	*simulatedFleet
	seed       uint64
	omniscient bool

	outcomes sync.Mutex
	byKind   map[string]*kindOutcome
}

func newOptimumFleet(t *testing.T, seed uint64, omniscient bool) *optimumFleet {
	t.Helper()
	f := &optimumFleet{seed: seed, omniscient: omniscient, byKind: map[string]*kindOutcome{"review": {}, "ask": {}}}
	f.simulatedFleet = &simulatedFleet{
		t: t, table: newTable(t), random: rand.New(rand.NewPCG(seed, 3)), began: time.Now(),
		replicas: make(map[string]*simulatedReplica), record: newSimulatedRecord(),
		distort: func(routes *routemap.Map) {
			for i := range routes.Routes {
				routes.Routes[i].HomeRegions = nil
			}
		},
	}
	f.configure("web")
	for zone := range simulatedZones {
		for i := range replicasPerZone {
			id := fmt.Sprintf("model-%s-%d", zone, i)
			slowdown := 0.7 + 0.3*f.random.Float64()
			f.place(&simulatedReplica{id: id, zone: zone, service: "model", address: id + ":80", slowdown: slowdown, prefillFactor: 0.9})
		}
	}
	for zone := range simulatedZones {
		for i := range gatewaysPerZone {
			f.addGateway(fmt.Sprintf("gateway-%s-%d", zone, i), zone)
		}
	}
	time.Sleep(2 * updateDelay)
	return f
}

// prompt returns a random request of the given kind.
func prompt(random *rand.Rand, kind, id string) *Request {
	sharedTokens, ownTokens := askSharedTokens, float64(askOwnTokens)
	if kind == "review" {
		sharedTokens, ownTokens = reviewSharedTokens, float64(reviewOwnTokens)
	}
	ownTokens = min(ownTokens*math.Exp(random.NormFloat64()-0.5), maxReviewTokens)
	part := fmt.Sprint(kind, random.IntN(sharedPrefixes))
	return &Request{
		ID: id, Method: http.MethodPost, Host: "h", Path: "/" + kind + "/x", Target: "/" + kind + "/x", Header: http.Header{},
		PromptTokens: float64(sharedTokens) + ownTokens, PrefixChain: []placement.Link{{Hash: placement.Hash(part), Tokens: sharedTokens}},
	}
}

// send sends the requests of one kind from one zone.
func (f *optimumFleet) send(ctx context.Context, zone, kind string, perSecond float64, requests *sync.WaitGroup) {
	// Each zone and kind has its own generator, so that both placements get the same
	// requests.
	random := rand.New(rand.NewPCG(f.seed, placement.Hash(zone+kind)))
	for count := 0; ; count++ {
		pause := time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		time.Sleep(pause)
		if ctx.Err() != nil {
			return
		}
		request := prompt(random, kind, fmt.Sprint(kind, "-", zone, "-", count))
		g := f.gatewayFor(zone)
		requests.Go(func() { f.forward(g, kind, request) })
	}
}

// forward sends one request and records when its response began.
func (f *optimumFleet) forward(g *simulatedGateway, kind string, request *Request) {
	request.Arrived = time.Now()
	request.Header.Set(headerAttempt, request.ID)
	f.record.begin(request.ID, request, f.began)
	client := &timedClient{}
	var served bool
	if f.omniscient {
		served = f.forwardOptimally(g, request, client)
	} else {
		dispatcher, _ := g.current()
		served = dispatcher.Serve(context.Background(), request, client) == nil
	}
	f.outcomes.Lock()
	defer f.outcomes.Unlock()
	outcome := f.byKind[kind]
	if !served {
		outcome.rejected++
		return
	}
	took := client.began.Sub(request.Arrived)
	outcome.times = append(outcome.times, took)
	if took > trueRoute(request.Path).FirstEventTarget {
		outcome.late++
	}
}

// forwardOptimally sends a request to the replica that will send its first event earliest.
func (f *optimumFleet) forwardOptimally(g *simulatedGateway, request *Request, client ResponseWriter) bool {
	attempt := &Attempt{Request: request}
	least := time.Duration(math.MaxInt64)
	for _, r := range f.replicasOf("model", "") {
		if first := r.timeToFirstEvent(request) + 2*delayBetween(g.zone, r.zone); first < least {
			least = first
			attempt.Replica = Endpoint{ID: r.id, Address: r.address}
		}
	}
	response, err := g.send(context.Background(), attempt)
	if err != nil {
		return false
	}
	buffer := make([]byte, eventBuffer)
	if _, err := response.Body.Read(buffer); err != nil {
		return false
	}
	client.WriteHead(response.Status, response.Header)
	return true
}

// timeToFirstEvent returns how long the replica would now take to send the first event of a
// request.
func (r *simulatedReplica) timeToFirstEvent(request *Request) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	cached := 0.0
	for _, link := range request.PrefixChain {
		if r.cached[link.Hash] {
			cached = float64(link.Tokens)
		}
	}
	prefill := r.slowdown * (initialOverhead + r.prefillFactor*prefillWork(request.PromptTokens, cached))
	return max(0, time.Until(r.prefillEnd)) + time.Duration(prefill*float64(time.Second))
}

// simulateOptimum runs one fleet without faults.
func simulateOptimum(t *testing.T, seed uint64, omniscient bool) map[string]*kindOutcome {
	t.Helper()
	var outcomes map[string]*kindOutcome
	synctest.Test(t, func(t *testing.T) {
		f := newOptimumFleet(t, seed, omniscient)
		ctx, cancel := context.WithTimeout(t.Context(), optimumLength)
		defer cancel()
		var requests sync.WaitGroup
		for zone := range simulatedZones {
			requests.Go(func() { f.send(ctx, zone, "review", reviewsPerSecond*replicasPerZone, &requests) })
			requests.Go(func() { f.send(ctx, zone, "ask", asksPerSecond*replicasPerZone, &requests) })
		}
		requests.Wait()
		for _, g := range f.gateways {
			g.end()
		}
		time.Sleep(updateDelay)
		outcomes = f.byKind
	})
	return outcomes
}

// TestPlacementIsCloseToOptimum checks that the share of late requests exceeds that of the
// omniscient placement only a little.
func TestPlacementIsCloseToOptimum(t *testing.T) {
	const maxLateDifference = 0.02 // difference of the shares of late requests
	for seed := range uint64(2) {
		actual, omniscient := simulateOptimum(t, seed, false), simulateOptimum(t, seed, true)
		for kind, dispatched := range actual {
			optimum := omniscient[kind]
			t.Logf("seed %d, %s: late %.1f%% of %d, with the omniscient placement %.1f%% of %d; p50 %v and %v, p99 %v and %v", seed, kind,
				100*dispatched.lateRatio(), len(dispatched.times), 100*optimum.lateRatio(), len(optimum.times), dispatched.quantile(0.5), optimum.quantile(0.5), dispatched.quantile(0.99), optimum.quantile(0.99))
			if dispatched.lateRatio() > optimum.lateRatio()+maxLateDifference {
				t.Errorf("seed %d: late share %.3f of %s requests, %.3f with the omniscient placement", seed, dispatched.lateRatio(), kind, optimum.lateRatio())
			}
		}
	}
}
