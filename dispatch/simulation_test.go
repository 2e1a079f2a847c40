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

// The simulation runs the dispatchers of several gateways in virtual time. They forward the
// requests of simulated clients to simulated replicas, which prefill one prompt after
// another. The checks compare the attempts that ran with the responses to the clients. The
// faults are in simulation_faults_test.go, the checks in simulation_checks_test.go.

const (
	simulatedDuration = 14 * time.Second
	// burstInterval is the mean time between two bursts of requests in a zone, and maxBurst
	// is the largest number of requests in a burst.
	burstInterval = 120 * time.Millisecond
	maxBurst      = 3
	// Network delays, one way, within a zone and between zones.
	localDelay     = 200 * time.Microsecond
	crossZoneDelay = 10 * time.Millisecond
	// updateDelay is how long a change of the registry takes to reach a gateway.
	updateDelay = 60 * time.Millisecond
	// maxClientAttempts is the maximum number of times that a client sends a request.
	maxClientAttempts = 2
)

var simulatedZones = map[string]string{"north-1": "north", "east-1": "east", "south-1": "south"}

// simulatedRoutes returns a route of each kind.
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

// trueRoute returns the route of a path without any injected defect.
func trueRoute(path string) *routemap.Route {
	return routemap.NewTable(simulatedRoutes(1, "web").Routes).Lookup("h", path)
}

// simulatedFleet is the fleet of one run of the simulation.
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
	// controlDown is set while no change of the registry reaches any gateway.
	controlDown bool
	// distort, if set, changes each route map before it is published: an injected defect.
	distort func(*routemap.Map)
	// hideTimeouts hides from gateways how long clients wait: an injected defect.
	hideTimeouts atomic.Bool
}

// simulatedGateway is a gateway with the dispatcher of its current process.
type simulatedGateway struct {
	fleet      *simulatedFleet
	name       string
	zone       string
	dispatcher *Dispatcher
	exchange   *loadexchange.Node
	alive      context.Context //nolint:containedctx // of the current process; kill cancels it
	kill       context.CancelFunc
	// partitioned is set while the gateway receives nothing from the registry and
	// exchanges messages only with other partitioned gateways.
	partitioned atomic.Bool
	serial      uint32
	mutex       sync.Mutex
	// misreport, if set, changes the error of an attempt: an injected defect.
	misreport func(err error) error
	// missesUpdates makes the gateway ignore all further changes of the registry: an
	// injected defect.
	missesUpdates atomic.Bool
}

func (g *simulatedGateway) region() string { return simulatedZones[g.zone] }

// scenario describes a run. run injects its faults; distort, if set, changes each route map
// before it is published: an injected defect.
type scenario struct {
	run     func(*simulatedFleet)
	distort func(*routemap.Map)
}

// simulate runs a scenario in virtual time and returns the violations.
func simulate(t *testing.T, seed uint64, scenario scenario) []string {
	t.Helper()
	var violations []string
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, seed, scenario.distort)
		ctx, cancel := context.WithTimeout(t.Context(), simulatedDuration)
		defer cancel()
		var clients sync.WaitGroup
		for zone := range simulatedZones {
			clients.Go(func() { f.sendFrom(ctx, zone, &clients) })
		}
		scenario.run(f)
		clients.Wait()
		for _, g := range f.gateways {
			g.end()
		}
		time.Sleep(updateDelay)
		violations = f.record.check()
	})
	return violations
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

// start starts a new process of the gateway, without any state.
func (g *simulatedGateway) start() {
	f := g.fleet
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.serial = 0
	g.alive, g.kill = context.WithCancel(context.Background())
	g.dispatcher = New(Options{
		Gateway: g.name, Zone: g.zone, Region: g.region(), Backend: g, Random: f.randomFloat, Logger: slog.New(slog.DiscardHandler),
		OnPlaced:  func(prompt peer.PlacedPrompt) { g.exchange.RecordPlacement(prompt) },
		OnPrefill: func(prompt peer.PrefillSample) { g.exchange.RecordPrefill(prompt) },
	})
	g.exchange = loadexchange.NewNode(loadexchange.Config{
		Name: g.name, Region: g.region(), LoadSource: g.dispatcher, Observe: g.dispatcher.HandleRegionLoads,
		SendReport: func(address string, report *peer.ReplicaLoads) {
			g.deliver(address, func(other *loadexchange.Node) { other.HandleReport(report) })
		},
		SendDigest: func(address string, digest *peer.LoadDigest) {
			g.deliver(address, func(other *loadexchange.Node) { other.HandleDigest(digest) })
		},
	})
	go g.exchange.Run(g.alive)
}

func (f *simulatedFleet) randomFloat() float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.Float64()
}

// configure publishes a new route map that routes pages and orders to the given service.
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

// change applies a change to the registry and publishes it.
func (f *simulatedFleet) change(changes ...registry.Record) {
	f.t.Helper()
	update := registry.NewUpdate(catalog.Apex, nil, changes)
	if result := f.table.Apply(&update, nil); result.Code != registry.NoError {
		f.t.Fatalf("update failed: %v", result.Code)
	}
	f.publish()
}

// publish sends the current state of the registry to all gateways that can receive it.
func (f *simulatedFleet) publish() {
	f.t.Helper()
	state, err := catalog.Read(f.table.View())
	if err != nil {
		f.t.Fatal(err)
	}
	for _, g := range f.gateways {
		if f.controlDown || g.partitioned.Load() || g.missesUpdates.Load() {
			continue
		}
		time.AfterFunc(updateDelay, func() { g.update(state) })
	}
}

// update makes state the gateway's current state of the registry unless it has a newer one.
func (g *simulatedGateway) update(state *catalog.State) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.alive.Err() != nil || g.serial != 0 && !registry.SerialLess(g.serial, state.Serial()) {
		return
	}
	g.serial = state.Serial()
	g.dispatcher.Update(state)
	up := make(map[string]loadexchange.Gateway)
	for name, gateway := range state.Gateways() {
		if gateway.Up {
			up[name] = loadexchange.Gateway{Region: gateway.Region, Address: name}
		}
	}
	g.exchange.SetGateways(up)
}

// end kills the gateway's current process.
func (g *simulatedGateway) end() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.kill()
}

// setMisreport sets a function that replaces the errors of attempts.
func (g *simulatedGateway) setMisreport(misreport func(error) error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.misreport = misreport
}

// reported returns the error of an attempt as it is reported to the dispatcher.
func (g *simulatedGateway) reported(err error) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if err == nil || g.misreport == nil {
		return err
	}
	return g.misreport(err)
}

// current returns the dispatcher of the current process, and the context that is canceled
// when the process ends.
func (g *simulatedGateway) current() (*Dispatcher, context.Context) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.dispatcher, g.alive
}

// currentExchange returns the load exchange of the current process, or nil if the process
// has ended.
func (g *simulatedGateway) currentExchange() *loadexchange.Node {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.alive.Err() != nil {
		return nil
	}
	return g.exchange
}

// deliver sends a message to another gateway, whose address is its name.
func (g *simulatedGateway) deliver(address string, handle func(*loadexchange.Node)) {
	for _, other := range g.fleet.gateways {
		if other.name != address || other.partitioned.Load() != g.partitioned.Load() {
			continue
		}
		time.AfterFunc(delayBetween(g.zone, other.zone), func() {
			if exchange := other.currentExchange(); exchange != nil {
				handle(exchange)
			}
		})
	}
}

func delayBetween(zone, other string) time.Duration {
	if zone == other {
		return localDelay
	}
	return crossZoneDelay
}

// HasIdleConnection implements Backend.
func (g *simulatedGateway) HasIdleConnection(string) bool { return true }

// LastReceived implements Backend.
func (g *simulatedGateway) LastReceived(address string) time.Time {
	r := g.fleet.replicaAt(address)
	if r == nil {
		return time.Time{}
	}
	return r.lastReceived()
}

// CloseIdleConnections implements Backend.
func (g *simulatedGateway) CloseIdleConnections(string) {}

// sendFrom sends random requests from the clients in one zone until ctx is done.
func (f *simulatedFleet) sendFrom(ctx context.Context, zone string, clients *sync.WaitGroup) {
	for count := 0; ; {
		f.mutex.Lock()
		pause := time.Duration(f.random.ExpFloat64() * float64(burstInterval))
		burst := 1 + f.random.IntN(maxBurst)
		f.mutex.Unlock()
		time.Sleep(pause)
		if ctx.Err() != nil {
			return
		}
		for range burst {
			request := f.newRequest(fmt.Sprint(zone, "-", count))
			count++
			clients.Go(func() { f.send(zone, request) })
		}
	}
}

// simulatedSizes are the smallest and largest prompts in tokens, by kind of request.
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

// send sends a request like a client. It sends it again after an error which states that the
// request has not run, and if the gateway has ended and the request may be repeated.
func (f *simulatedFleet) send(zone string, request *Request) {
	route := trueRoute(request.Path)
	end := time.Now().Add(route.Timeout)
	for try := 0; try < maxClientAttempts && time.Until(end) > 0; try++ {
		g := f.gatewayFor(zone)
		if g == nil {
			return
		}
		attempt := f.sendOnce(g, request, try, end)
		notRun := attempt.requestErr != nil && attempt.requestErr.RetryAfter > 0
		lost := attempt.requestErr != nil && attempt.requestErr.Code == CodeClientClosed
		if !notRun && (!lost || !route.Retryable()) {
			return
		}
		time.Sleep(max(attempt.retryAfter(), localDelay))
	}
}

// sendOnce sends a request to one gateway.
func (f *simulatedFleet) sendOnce(g *simulatedGateway, request *Request, try int, end time.Time) *clientAttempt {
	dispatcher, alive := g.current()
	sent := *request
	sent.Arrived = time.Now()
	sent.ClientTimeout = time.Until(end)
	sent.Header = http.Header{headerAttempt: []string{fmt.Sprint(request.ID, "/", try)}}
	client := &recorder{}
	attempt := f.record.begin(sent.Header.Get(headerAttempt), request, f.began)
	wait := sent.ClientTimeout
	if f.hideTimeouts.Load() {
		sent.ClientTimeout = 0
	}
	requestErr := dispatcher.Serve(alive, &sent, client)
	f.record.took(attempt, time.Since(sent.Arrived))
	f.record.end(attempt, requestErr, client.body.String(), wait)
	return attempt
}

// headerAttempt is the header with the client attempt that a request belongs to.
const headerAttempt = "Try"

// gatewayFor returns a random running gateway of the client's zone, or of any zone if there
// is none there. It returns nil if no gateway is running.
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
