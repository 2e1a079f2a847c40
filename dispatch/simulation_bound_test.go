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

// How far placement is from one that knows every replica's queue and cache at every
// moment, with the same requests and replicas. The sizes are a sixth of a large
// deployment: gateways, replicas and requests in its proportions.
const (
	boundGateways = 22 // a zone
	boundReplicas = 12 // a zone
	boundLength   = 8 * time.Second
	// reviewsPerSecond and asksPerSecond are for each replica.
	reviewsPerSecond = 1.6
	asksPerSecond    = 3.5
	sharedReview     = 5400
	ownReview        = 6600
	longestReview    = 60_000
	sharedAsk        = 570
	ownAsk           = 1800
	sharedParts      = 40
)

// firstEventClient notes when its answer began.
type firstEventClient struct {
	recorder
	began time.Time
}

func (c *firstEventClient) WriteHead(status int, header http.Header) {
	c.began = time.Now()
	c.recorder.WriteHead(status, header)
}

// boundOutcome is how the requests of one kind went.
type boundOutcome struct {
	times   []time.Duration // to the first event
	late    int
	refused int
}

func (o *boundOutcome) lateShare() float64 {
	return float64(o.late+o.refused) / float64(max(1, len(o.times)+o.refused))
}

func (o *boundOutcome) at(part float64) time.Duration {
	if len(o.times) == 0 {
		return 0
	}
	slices.Sort(o.times)
	return o.times[int(part*float64(len(o.times)-1))].Round(time.Millisecond)
}

// boundFleet is a calm fleet whose requests are placed by dispatchers, or by one that
// knows everything.
type boundFleet struct {
	*simulatedFleet
	seed    uint64
	knowing bool

	outcomes sync.Mutex
	byKind   map[string]*boundOutcome
}

func newBoundFleet(t *testing.T, seed uint64, knowing bool) *boundFleet {
	t.Helper()
	b := &boundFleet{seed: seed, knowing: knowing, byKind: map[string]*boundOutcome{"review": {}, "ask": {}}}
	b.simulatedFleet = &simulatedFleet{
		t: t, table: newTable(t), random: rand.New(rand.NewPCG(seed, 3)), began: time.Now(),
		replicas: make(map[string]*simulatedReplica), record: newSimulatedRecord(),
		distort: func(routes *routemap.Map) {
			for i := range routes.Routes {
				routes.Routes[i].HomeRegions = nil
			}
		},
	}
	b.configure("web")
	for zone := range simulatedZones {
		for i := range boundReplicas {
			id := fmt.Sprintf("model-%s-%d", zone, i)
			slowness := 0.7 + 0.3*b.random.Float64()
			b.place(&simulatedReplica{id: id, zone: zone, service: "model", address: id + ":80", slowness: slowness, enginePace: 0.9})
		}
	}
	for zone := range simulatedZones {
		for i := range boundGateways {
			b.addGateway(fmt.Sprintf("gateway-%s-%d", zone, i), zone)
		}
	}
	time.Sleep(2 * updateDelay)
	return b
}

// prompt draws a request of a kind.
func prompt(random *rand.Rand, kind, id string) *Request {
	shared, own := sharedAsk, float64(ownAsk)
	if kind == "review" {
		shared, own = sharedReview, float64(ownReview)
	}
	own = min(own*math.Exp(random.NormFloat64()-0.5), longestReview)
	part := fmt.Sprint(kind, random.IntN(sharedParts))
	return &Request{
		ID: id, Method: http.MethodPost, Host: "h", Path: "/" + kind + "/x", Target: "/" + kind + "/x", Header: http.Header{},
		PromptTokens: float64(shared) + own, PrefixChain: []placement.Link{{Hash: placement.Hash(part), Tokens: shared}},
	}
}

// send sends the requests of one kind from one zone.
func (b *boundFleet) send(ctx context.Context, zone, kind string, perSecond float64, requests *sync.WaitGroup) {
	// Of its own, so that both placements get the same requests.
	random := rand.New(rand.NewPCG(b.seed, placement.Hash(zone+kind)))
	for count := 0; ; count++ {
		pause := time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		time.Sleep(pause)
		if ctx.Err() != nil {
			return
		}
		request := prompt(random, kind, fmt.Sprint(kind, "-", zone, "-", count))
		g := b.gatewayFor(zone)
		requests.Go(func() { b.carry(g, kind, request) })
	}
}

// carry places one request and notes when it began to be answered.
func (b *boundFleet) carry(g *simulatedGateway, kind string, request *Request) {
	request.Arrived = time.Now()
	request.Header.Set(headerTry, request.ID)
	b.record.begin(request.ID, request, b.began)
	client := &firstEventClient{}
	var served bool
	if b.knowing {
		served = b.carryKnowing(g, request, client)
	} else {
		dispatcher, _ := g.current()
		served = dispatcher.Serve(context.Background(), request, client) == nil
	}
	b.outcomes.Lock()
	defer b.outcomes.Unlock()
	outcome := b.byKind[kind]
	if !served {
		outcome.refused++
		return
	}
	took := client.began.Sub(request.Arrived)
	outcome.times = append(outcome.times, took)
	if took > trueRoute(request.Path).FirstEventTarget {
		outcome.late++
	}
}

// carryKnowing sends a request where it will begin to be answered first.
func (b *boundFleet) carryKnowing(g *simulatedGateway, request *Request, client ResponseWriter) bool {
	attempt := &Attempt{Request: request}
	least := time.Duration(math.MaxInt64)
	for _, r := range b.replicasOf("model", "") {
		if begins := r.wouldBegin(request) + 2*delayBetween(g.zone, r.zone); begins < least {
			least = begins
			attempt.Replica = Endpoint{ID: r.id, Address: r.address}
		}
	}
	answer, err := g.send(context.Background(), attempt)
	if err != nil {
		return false
	}
	buffer := make([]byte, eventBuffer)
	if _, err := answer.Body.Read(buffer); err != nil {
		return false
	}
	client.WriteHead(answer.Status, answer.Header)
	return true
}

// wouldBegin is how long the replica would take to read a prompt now.
func (r *simulatedReplica) wouldBegin(request *Request) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	cached := 0.0
	for _, link := range request.PrefixChain {
		if r.known[link.Hash] {
			cached = float64(link.Tokens)
		}
	}
	reading := r.slowness * (firstStart + r.enginePace*readingWork(request.PromptTokens, cached))
	return max(0, time.Until(r.readUntil)) + time.Duration(reading*float64(time.Second))
}

// playBound plays one calm fleet.
func playBound(t *testing.T, seed uint64, knowing bool) map[string]*boundOutcome {
	t.Helper()
	var outcomes map[string]*boundOutcome
	synctest.Test(t, func(t *testing.T) {
		b := newBoundFleet(t, seed, knowing)
		ctx, cancel := context.WithTimeout(t.Context(), boundLength)
		defer cancel()
		var requests sync.WaitGroup
		for zone := range simulatedZones {
			requests.Go(func() { b.send(ctx, zone, "review", reviewsPerSecond*boundReplicas, &requests) })
			requests.Go(func() { b.send(ctx, zone, "ask", asksPerSecond*boundReplicas, &requests) })
		}
		requests.Wait()
		for _, g := range b.gateways {
			g.end()
		}
		time.Sleep(updateDelay)
		outcomes = b.byKind
	})
	return outcomes
}

// TestPlacementIsNearOneThatKnowsAll holds how much later requests are than under a
// placement that sees every queue and cache at once.
func TestPlacementIsNearOneThatKnowsAll(t *testing.T) {
	const mostLater = 0.02 // share of requests that are late
	for seed := range uint64(2) {
		ours, knowing := playBound(t, seed, false), playBound(t, seed, true)
		for kind, own := range ours {
			bound := knowing[kind]
			t.Logf("seed %d, %s: late %.1f%% of %d, %.1f%% of %d at best; p50 %v and %v, p99 %v and %v", seed, kind,
				100*own.lateShare(), len(own.times), 100*bound.lateShare(), len(bound.times), own.at(0.5), bound.at(0.5), own.at(0.99), bound.at(0.99))
			if own.lateShare() > bound.lateShare()+mostLater {
				t.Errorf("seed %d: %.3f of %s is late, %.3f at best", seed, own.lateShare(), kind, bound.lateShare())
			}
		}
	}
}
