package dispatch

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/loadexchange"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/placement"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routemap"
)

// The simulation plays requests through several gateways' dispatchers in virtual
// time, with replicas that read prompts one after another, and holds what ran
// against what clients were told. Days are in simulation_days_test.go, the checks
// in simulation_checks_test.go.

const (
	simulatedDay = 14 * time.Second
	// clumpGap is the mean time between two clumps of requests in a zone, and
	// largestClump the most requests in one.
	clumpGap     = 120 * time.Millisecond
	largestClump = 3
	// Delays between machines.
	nearDelay = 200 * time.Microsecond
	farDelay  = 10 * time.Millisecond
	// updateDelay is how long a change of the registry takes to a gateway.
	updateDelay = 60 * time.Millisecond
	// patientTries is how often a client comes back when it is told to.
	patientTries = 2
)

var simulatedZones = map[string]string{"north-1": "north", "east-1": "east", "south-1": "south"}

// simulatedRoutes are one of each kind.
func simulatedRoutes(version uint64, pages string) *routemap.Map {
	to := func(service string) []routemap.Target { return []routemap.Target{{Service: service, Weight: 1}} }
	return &routemap.Map{
		Version: version,
		Services: []routemap.Service{
			{Name: "model", CacheTokens: 490_000, MaxConnections: 390, SlowStartRate: 10, SlowStartDuration: 3 * time.Second},
			{Name: "web", Slots: 6, MaxConnections: 130},
			{Name: "web-2", Slots: 6, MaxConnections: 130},
		},
		Routes: []routemap.Route{
			{Name: "review", Host: "h", PathPrefix: "/review/", Kind: routemap.Stream, MaxAttempts: 1, Priority: 1, Timeout: 10 * time.Second, FirstEventTarget: time.Second, Targets: to("model")},
			{Name: "ask", Host: "h", PathPrefix: "/ask/", Kind: routemap.Stream, Resumable: true, MaxAttempts: 2, Timeout: 3 * time.Second, FirstEventTarget: 500 * time.Millisecond, Targets: to("model"), HomeRegions: []string{"north", "east"}},
			{Name: "order", Host: "h", PathPrefix: "/order/", Kind: routemap.AtMostOnce, MaxAttempts: 1, Timeout: 4 * time.Second, FirstEventTarget: 400 * time.Millisecond, Targets: to(pages)},
			{Name: "page", Host: "h", PathPrefix: "/page/", Kind: routemap.Idempotent, MaxAttempts: 3, Timeout: 2 * time.Second, FirstEventTarget: 400 * time.Millisecond, Targets: to(pages)},
		},
	}
}

// trueRoute is the route of a path as the operators wrote it.
func trueRoute(path string) *routemap.Route {
	return routemap.NewTable(simulatedRoutes(1, "web").Routes).Lookup("h", path)
}

// simulatedFleet is the whole world of one day.
type simulatedFleet struct {
	t      *testing.T
	record *simulatedRecord
	began  time.Time

	mutex    sync.Mutex
	random   *rand.Rand
	table    *registry.Table
	version  uint64
	gateways []*simulatedGateway
	replicas map[string]*simulatedReplica // by address
	// controlLost says that no change reaches any gateway.
	controlLost bool
	// distort, if set, changes every map of routes on its way: a planted defect.
	distort func(*routemap.Map)
	// untold says that gateways do not hear how long clients wait: a planted defect.
	untold atomic.Bool
}

// simulatedGateway is one dispatcher with its machine.
type simulatedGateway struct {
	fleet      *simulatedFleet
	name       string
	zone       string
	dispatcher *Dispatcher
	exchange   *loadexchange.Node
	alive      context.Context //nolint:containedctx // the life of the machine, which ends with kill
	kill       context.CancelFunc
	// cutOff gateways hear nothing of the registry and of other gateways.
	cutOff atomic.Bool
	serial uint32
	mutex  sync.Mutex
	// lies, if set, changes the error of an attempt: a planted defect.
	lies func(err error) error
	// deaf gateways miss every change from now on: a planted defect.
	deaf atomic.Bool
}

func (g *simulatedGateway) region() string { return simulatedZones[g.zone] }

// simulatedTrouble is what happens on a day. distort, if set, changes every map of
// routes on its way: a planted defect.
type simulatedTrouble struct {
	play    func(*simulatedFleet)
	distort func(*routemap.Map)
}

// simulate plays one day in virtual time and returns what was wrong.
func simulate(t *testing.T, seed uint64, day simulatedTrouble) []string {
	t.Helper()
	var wrong []string
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, seed, day.distort)
		ctx, cancel := context.WithTimeout(t.Context(), simulatedDay)
		defer cancel()
		var clients sync.WaitGroup
		for zone := range simulatedZones {
			clients.Go(func() { f.sendFrom(ctx, zone, &clients) })
		}
		day.play(f)
		clients.Wait()
		for _, g := range f.gateways {
			g.end()
		}
		time.Sleep(updateDelay)
		wrong = f.record.check()
	})
	return wrong
}

func newSimulatedFleet(t *testing.T, seed uint64, distort func(*routemap.Map)) *simulatedFleet {
	t.Helper()
	f := &simulatedFleet{
		t: t, table: newTable(t), random: rand.New(rand.NewPCG(seed, 1)), began: time.Now(),
		replicas: make(map[string]*simulatedReplica), record: newSimulatedRecord(), distort: distort,
	}
	f.configure("web")
	for _, zone := range []string{"north-1", "east-1", "south-1"} {
		for i := range 2 {
			f.addGateway(fmt.Sprintf("gateway-%s-%d", zone, i), zone)
		}
	}
	for zone, count := range map[string]int{"north-1": 3, "east-1": 2, "south-1": 2} {
		for i := range count {
			f.addReplica(fmt.Sprintf("model-%s-%d", zone, i), zone, "model")
		}
		f.addReplica("web-"+zone, zone, "web")
		f.addReplica("web-2-"+zone, zone, "web-2")
	}
	time.Sleep(2 * updateDelay)
	return f
}

func (f *simulatedFleet) addGateway(name, zone string) {
	g := &simulatedGateway{fleet: f, name: name, zone: zone}
	g.start()
	f.gateways = append(f.gateways, g)
	f.change(registry.Add(catalog.GatewayRecord(name, catalog.Gateway{Region: simulatedZones[zone], Zone: zone, Up: true})))
}

// start begins a process without any knowledge.
func (g *simulatedGateway) start() {
	f := g.fleet
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.serial = 0
	g.alive, g.kill = context.WithCancel(context.Background())
	g.dispatcher = New(Options{
		Gateway: g.name, Zone: g.zone, Region: g.region(), Backend: g, Random: f.draw, Logger: slog.New(slog.DiscardHandler),
		OnPlaced:  func(prompt peer.PlacedPrompt) { g.exchange.RecordPlacement(prompt) },
		OnPrefill: func(prompt peer.PrefillSample) { g.exchange.RecordPrefill(prompt) },
	})
	g.exchange = loadexchange.NewNode(loadexchange.Config{
		Name: g.name, Region: g.region(), LoadSource: g.dispatcher, Observe: g.dispatcher.Observe,
		SendReport: func(address string, report *peer.ReplicaLoads) {
			g.tell(address, func(other *loadexchange.Node) { other.HandleReport(report) })
		},
		SendDigest: func(address string, digest *peer.LoadDigest) {
			g.tell(address, func(other *loadexchange.Node) { other.HandleDigest(digest) })
		},
	})
	go g.exchange.Run(g.alive)
}

func (f *simulatedFleet) draw() float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.Float64()
}

// configure makes a new map of routes current.
func (f *simulatedFleet) configure(pages string) {
	f.t.Helper()
	f.version++
	routes := simulatedRoutes(f.version, pages)
	if f.distort != nil {
		f.distort(routes)
	}
	changes, err := configuration.RouteMapChanges(f.table.View(), routes, simulatedZones, fmt.Sprint("text ", f.version))
	if err != nil {
		f.t.Fatal(err)
	}
	f.change(changes...)
}

// change brings a change into the registry and on its way to the gateways.
func (f *simulatedFleet) change(changes ...registry.Record) {
	f.t.Helper()
	update := registry.NewUpdate(catalog.Apex, nil, changes)
	if result := f.table.Apply(&update, nil); result.Code != registry.NoError {
		f.t.Fatalf("update answered %v", result.Code)
	}
	f.spread()
}

// spread sends the newest reading of the registry to all gateways in touch.
func (f *simulatedFleet) spread() {
	f.t.Helper()
	contents, err := catalog.Read(f.table.View())
	if err != nil {
		f.t.Fatal(err)
	}
	for _, g := range f.gateways {
		if f.controlLost || g.cutOff.Load() || g.deaf.Load() {
			continue
		}
		time.AfterFunc(updateDelay, func() { g.take(contents) })
	}
}

// take makes a reading decide unless a newer one does.
func (g *simulatedGateway) take(contents *catalog.State) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.alive.Err() != nil || g.serial != 0 && !registry.SerialLess(g.serial, contents.Serial()) {
		return
	}
	g.serial = contents.Serial()
	g.dispatcher.Update(contents)
	up := make(map[string]loadexchange.Gateway)
	for name, gateway := range contents.Gateways() {
		if gateway.Up {
			up[name] = loadexchange.Gateway{Region: gateway.Region, Address: name}
		}
	}
	g.exchange.SetGateways(up)
}

// end kills the process.
func (g *simulatedGateway) end() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.kill()
}

// lie plants a wrong report of failed attempts.
func (g *simulatedGateway) lie(lies func(error) error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.lies = lies
}

// told is the error of an attempt as the dispatcher hears it.
func (g *simulatedGateway) told(err error) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if err == nil || g.lies == nil {
		return err
	}
	return g.lies(err)
}

// current is the dispatcher of the running process.
func (g *simulatedGateway) current() (*Dispatcher, context.Context) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.dispatcher, g.alive
}

// currentExchange is the exchange of loads of the running process, nil if it ended.
func (g *simulatedGateway) currentExchange() *loadexchange.Node {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.alive.Err() != nil {
		return nil
	}
	return g.exchange
}

// tell sends a message to another gateway, whose address is its name.
func (g *simulatedGateway) tell(address string, take func(*loadexchange.Node)) {
	for _, other := range g.fleet.gateways {
		if other.name != address || other.cutOff.Load() != g.cutOff.Load() {
			continue
		}
		time.AfterFunc(delayBetween(g.zone, other.zone), func() {
			if exchange := other.currentExchange(); exchange != nil {
				take(exchange)
			}
		})
	}
}

func delayBetween(zone, other string) time.Duration {
	if zone == other {
		return nearDelay
	}
	return farDelay
}

// Heard implements Backend.
func (g *simulatedGateway) HasIdleConnection(string) bool { return true }

func (g *simulatedGateway) LastReceived(address string) time.Time {
	r := g.fleet.replicaAt(address)
	if r == nil {
		return time.Time{}
	}
	return r.heardAt()
}

// CloseIdleConnections implements Backend.
func (g *simulatedGateway) CloseIdleConnections(string) {}

// sendFrom is the clients of one zone.
func (f *simulatedFleet) sendFrom(ctx context.Context, zone string, clients *sync.WaitGroup) {
	for count := 0; ; {
		f.mutex.Lock()
		pause := time.Duration(f.random.ExpFloat64() * float64(clumpGap))
		clump := 1 + f.random.IntN(largestClump)
		f.mutex.Unlock()
		time.Sleep(pause)
		if ctx.Err() != nil {
			return
		}
		for range clump {
			request := f.newRequest(fmt.Sprint(zone, "-", count))
			count++
			clients.Go(func() { f.ask(zone, request) })
		}
	}
}

// simulatedSizes are the tokens of prompts by kind of request.
var simulatedSizes = map[string][2]int{"review": {1500, 40_000}, "ask": {300, 3000}}

func (f *simulatedFleet) newRequest(id string) *Request {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	kind := []string{"review", "ask", "ask", "ask", "order", "page"}[f.random.IntN(6)]
	request := &Request{ID: kind + "-" + id, Method: http.MethodPost, Host: "h", Path: "/" + kind + "/x", Target: "/" + kind + "/x", Header: http.Header{}}
	if size, prompted := simulatedSizes[kind]; prompted {
		spread := f.random.Float64()
		request.PromptTokens = float64(size[0]) + spread*spread*spread*float64(size[1]-size[0])
		name := fmt.Sprint(kind, f.random.IntN(20))
		request.PrefixChain = []placement.Link{{Hash: placement.Hash(name), Tokens: int(request.PromptTokens / 2)}}
	}
	return request
}

// ask sends a request as a client does: again after a promise that it has not run,
// and, if it may be repeated, after a gateway that ended.
func (f *simulatedFleet) ask(zone string, request *Request) {
	route := trueRoute(request.Path)
	end := time.Now().Add(route.Timeout)
	for try := 0; try < patientTries && time.Until(end) > 0; try++ {
		g := f.gatewayFor(zone)
		if g == nil {
			return
		}
		outcome := f.try(g, request, try, end)
		promised := outcome.refusal != nil && outcome.refusal.RetryAfter > 0
		lost := outcome.refusal != nil && outcome.refusal.Code == CodeClientClosed
		if !promised && (!lost || !route.Retryable()) {
			return
		}
		time.Sleep(max(outcome.retryAfter(), nearDelay))
	}
}

// try is one sending of a request to one gateway.
func (f *simulatedFleet) try(g *simulatedGateway, request *Request, try int, end time.Time) *simulatedTry {
	dispatcher, alive := g.current()
	sent := *request
	sent.Arrived = time.Now()
	sent.ClientTimeout = time.Until(end)
	sent.Header = http.Header{headerTry: []string{fmt.Sprint(request.ID, "/", try)}}
	client := &recorder{}
	outcome := f.record.begin(sent.Header.Get(headerTry), request, f.began)
	wait := sent.ClientTimeout
	if f.untold.Load() {
		sent.ClientTimeout = 0
	}
	refusal := dispatcher.Serve(alive, &sent, client)
	f.record.took(outcome, time.Since(sent.Arrived))
	f.record.end(outcome, refusal, client.body.String(), wait)
	return outcome
}

// headerTry tells replicas which try of a client an attempt belongs to.
const headerTry = "Try"

// gatewayFor is a running gateway of a client's zone, or of any.
func (f *simulatedFleet) gatewayFor(zone string) *simulatedGateway {
	var near, all []*simulatedGateway
	for _, g := range f.gateways {
		_, alive := g.current()
		if alive.Err() != nil {
			continue
		}
		all = append(all, g)
		if g.zone == zone {
			near = append(near, g)
		}
	}
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		return nil
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return near[f.random.IntN(len(near))]
}
