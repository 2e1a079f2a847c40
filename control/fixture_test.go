package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/storage"
	"github.com/deckpulley/deckpulley/transport"
)

// fleet is a group of control nodes and gateways in one process. It runs in a synctest
// bubble: virtual time advances only while all goroutines are blocked.
type fleet struct {
	t       *testing.T
	network *transport.Memory
	options map[string]Options
	disks   map[string]*storage.Memory
	nodes   map[string]*Node
	// stores replace the disks of the nodes whose names are keys.
	stores   map[string]*stallingDisk
	full     map[string]*fillingDisk
	gateways map[string]*testGateway
	wipes    int
}

var controlNames = []string{"control-1", "control-2", "control-3"}

// testSnapshotInterval is short, so that tests produce snapshots.
const testSnapshotInterval = 256

// waitTimeout bounds every wait of these tests, in virtual time.
const waitTimeout = 30 * time.Second

// inFleet runs a test with a new fleet in a synctest bubble, and closes the fleet.
func inFleet(t *testing.T, test func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		test(f)
	})
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		t:        t,
		network:  transport.NewMemory(),
		options:  make(map[string]Options),
		disks:    make(map[string]*storage.Memory),
		nodes:    make(map[string]*Node),
		gateways: make(map[string]*testGateway),
		full:     make(map[string]*fillingDisk),
	}
	initial := make(map[string]string)
	for _, name := range controlNames {
		initial[name] = name + ":1"
	}
	for i, name := range controlNames {
		f.options[name] = Options{
			Name:            name,
			Zone:            fmt.Sprintf("zone-%d", i+1),
			Region:          fmt.Sprintf("region-%d", i+1),
			PeerAddress:     initial[name],
			OperatorAddress: name + ":2",
			InitialControl:  initial,
			Seed:            uint64(i + 1),
			Logger:          slog.New(slog.DiscardHandler),

			SnapshotInterval: testSnapshotInterval,
		}
		f.disks[name] = storage.NewMemory(consensus.ID("disk-" + name))
	}
	return f
}

func (f *fleet) close() {
	for name := range f.gateways {
		f.stopGateway(name)
	}
	for name := range f.nodes {
		f.stop(name)
	}
}

func (f *fleet) start(names ...string) {
	f.t.Helper()
	for _, name := range names {
		options := f.options[name]
		options.Network = f.network.Node(name, options.PeerAddress)
		options.Store = f.disks[name]
		if store, named := f.stores[name]; named {
			options.Store = store
		}
		if disk, named := f.full[name]; named {
			options.Store = disk
		}
		node, err := New(options)
		if err != nil {
			f.t.Fatalf("creating %s: %v", name, err)
		}
		if err := node.Start(); err != nil {
			f.t.Fatalf("starting %s: %v", name, err)
		}
		f.nodes[name] = node
	}
}

// stop stops a node immediately, without transferring leadership.
func (f *fleet) stop(name string) {
	f.t.Helper()
	node := f.nodes[name]
	delete(f.nodes, name)
	if err := node.Stop(); err != nil {
		f.t.Fatalf("stopping %s: %v", name, err)
	}
}

// wipe gives a stopped node a new disk.
func (f *fleet) wipe(name string) {
	f.wipes++
	f.disks[name] = storage.NewMemory(consensus.ID(fmt.Sprintf("disk-%s-%d", name, f.wipes)))
}

// await polls until a condition holds, and fails the test after waitTimeout of virtual
// time. what names the condition in the failure.
func (f *fleet) await(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out after %v waiting for %s", waitTimeout, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// primary waits until one of the running nodes, except those named, is the primary, and
// returns it.
func (f *fleet) primary(except ...string) *Node {
	f.t.Helper()
	var found *Node
	f.await("a primary", func() bool {
		found = nil
		for name, node := range f.nodes {
			if node.engine.Observe().Primary && !contains(except, name) {
				found = node
			}
		}
		return found != nil
	})
	return found
}

// follower returns a running node that is not the primary.
func (f *fleet) follower() *Node {
	f.t.Helper()
	primary := f.primary()
	for _, name := range controlNames {
		if node := f.nodes[name]; node != nil && node != primary {
			return node
		}
	}
	f.t.Fatal("no node is running beside the primary")
	return nil
}

func contains(names []string, name string) bool {
	for _, candidate := range names {
		if candidate == name {
			return true
		}
	}
	return false
}

// request sends an HTTP request to a node's operator API, decodes the response into
// answer unless that is nil, and returns the status code.
func (f *fleet) request(node *Node, method, path string, body any, answer any) int {
	f.t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	node.Handler().ServeHTTP(recorder, httptest.NewRequest(method, path, bytes.NewReader(encoded)))
	if answer != nil {
		if err := json.Unmarshal(recorder.Body.Bytes(), answer); err != nil {
			f.t.Fatalf("%s %s returned the undecodable body %q: %v", method, path, recorder.Body, err)
		}
	}
	return recorder.Code
}

// send submits a configuration document to a node and returns the HTTP status and the
// result.
func (f *fleet) send(node *Node, id string, base uint64, document string) (int, api.OperationResult) {
	f.t.Helper()
	var answer api.OperationResult
	operation := api.ConfigurationOperation{OperationID: id, BaseVersion: base, Author: "test", Document: document}
	status := f.request(node, http.MethodPut, api.PathConfiguration, operation, &answer)
	return status, answer
}

// mustSend submits the example document and fails the test unless it is accepted.
func (f *fleet) mustSend(node *Node, id string, base uint64) api.OperationResult {
	f.t.Helper()
	status, answer := f.send(node, id, base, document(f.t))
	if status != http.StatusOK || !answer.Accepted {
		f.t.Fatalf("operation %s returned status %d and %+v, want it accepted", id, status, answer)
	}
	return answer
}

func (f *fleet) members(node *Node) api.MembersAnswer {
	f.t.Helper()
	var answer api.MembersAnswer
	if status := f.request(node, http.MethodGet, api.PathMembers, nil, &answer); status != http.StatusOK {
		f.t.Fatalf("listing the members returned status %d, want 200", status)
	}
	return answer
}

func document(t *testing.T) string {
	t.Helper()
	text, err := configuration.Example("kodovka")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// testGateway is a minimal gateway: it renews its lease, applies transfers of the table
// and activates the serials that the primary permits.
type testGateway struct {
	name    string
	address string
	network transport.Network
	control []string
	timeout time.Duration // bounds one renewal
	started time.Time
	cancel  context.CancelFunc
	done    chan struct{}
	notify  chan struct{}

	mutex       sync.Mutex
	hello       func() peer.HelloReply // answers Hello; may be nil
	leaving     bool                   // the gateway has released its lease and follows the registry
	holder      *lease.Holder
	copy        *registry.Table
	received    uint32
	active      uint32
	granted     map[uint64]int // leases granted, by term
	failure     error
	activations []uint32 // every serial that the gateway activated, in order
	notifiedBy  string   // primary that the newest notification names
}

func (f *fleet) startGateway(name string) *testGateway {
	f.t.Helper()
	return f.startGatewayWith(name, 200*time.Millisecond, controlNames...)
}

// startGatewayWith starts a gateway that knows only the named control nodes. The timeout
// bounds each of its renewals.
func (f *fleet) startGatewayWith(name string, timeout time.Duration, control ...string) *testGateway {
	f.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	g := &testGateway{
		name:    name,
		address: name + ":1",
		network: f.network.Node(name, name+":1"),
		timeout: timeout,
		started: time.Now(),
		cancel:  cancel,
		done:    make(chan struct{}),
		notify:  make(chan struct{}, 1),
		holder:  lease.NewHolder(lease.DefaultConfig()),
		copy:    registry.NewSecondary(catalog.Apex, catalog.Schema()),
		granted: make(map[uint64]int),
	}
	for _, name := range control {
		g.control = append(g.control, f.options[name].PeerAddress)
	}
	g.network.Handle(peer.KindNotify, g.serveNotify)
	g.network.Handle(peer.KindHello, g.answerHello)
	g.network.Handle(peer.KindWitnessVote, g.answerWitnessVote)
	if err := g.network.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.gateways[name] = g
	go g.run(ctx)
	return g
}

func (f *fleet) stopGateway(name string) {
	f.t.Helper()
	g := f.gateways[name]
	delete(f.gateways, name)
	g.cancel()
	<-g.done
	if g.failure != nil {
		f.t.Errorf("%s: %v", name, g.failure)
	}
}

func (g *testGateway) serveNotify(_ context.Context, _ string, decode func(any) error) (any, error) {
	var notify peer.Notify
	if err := decode(&notify); err != nil {
		return nil, err
	}
	g.mutex.Lock()
	g.notifiedBy = notify.Primary
	g.mutex.Unlock()
	select {
	case g.notify <- struct{}{}:
	default:
	}
	return nil, nil
}

func (g *testGateway) run(ctx context.Context) {
	defer close(g.done)
	defer g.network.Close()
	for ctx.Err() == nil {
		for _, address := range g.control {
			g.renew(ctx, address)
		}
		select {
		case <-ctx.Done():
		case <-g.notify:
		case <-time.After(lease.DefaultConfig().RenewalInterval):
		}
	}
}

func (g *testGateway) renew(ctx context.Context, address string) {
	for range 3 {
		if again := g.renewOnce(ctx, address); !again {
			return
		}
	}
}

// renewOnce sends one renewal and returns true if another should follow immediately.
func (g *testGateway) renewOnce(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	g.mutex.Lock()
	sent := time.Since(g.started)
	renew := peer.Renew{
		Cluster:        g.holder.Cluster(),
		Gateway:        peer.GatewayInfo{Name: g.name, Incarnation: "1", Zone: "zone-1", Region: "region-1", PeerAddress: g.address, HTTPAddress: g.name + ":2"},
		Term:           g.holder.Term(),
		ReceivedSerial: g.received,
		ActiveSerial:   g.active,
		LeaseValid:     g.holder.Valid(sent) && !g.leaving,
		Follows:        g.leaving,
	}
	renew.Gateway.Draining = g.leaving
	g.mutex.Unlock()
	var grant peer.Grant
	if err := g.network.Call(ctx, address, peer.KindRenew, &renew, &grant); err != nil || !grant.QuorumConfirmed {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.applyGrant(sent, grant)
}

// applyGrant applies a grant to the lease, the table and the active serial. It returns true if
// another renewal should follow immediately: the primary granted no lease yet, or the
// received or active serial has changed.
func (g *testGateway) applyGrant(sent time.Duration, grant peer.Grant) bool {
	length := time.Duration(grant.LeaseMS) * time.Millisecond
	if err := g.holder.HandleGrant(time.Since(g.started), sent, grant.Term, grant.Cluster, length); err != nil {
		return false
	}
	if length > 0 {
		g.granted[grant.Term]++
	}
	before := [2]uint32{g.received, g.active}
	if grant.Transfer != nil {
		if err := g.copy.ApplyTransfer(*grant.Transfer); err != nil {
			g.failure = err
			return false
		}
		g.received = g.copy.Serial()
	}
	if grant.ActivationSerial != 0 && !registry.SerialLess(grant.ActivationSerial, g.received) && g.active != g.received {
		g.active = g.received
		g.activations = append(g.activations, g.active)
	}
	return length == 0 || before != [2]uint32{g.received, g.active}
}

func (g *testGateway) valid() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.holder.Valid(time.Since(g.started))
}

// unusedRecords counts the gateway's records of types that gateways do not use.
func (g *testGateway) unusedRecords() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	count := 0
	g.copy.View().Walk(catalog.Apex, registry.TypeANY, func(record registry.Record) bool {
		if record.Type == catalog.TypeOperation || record.Type == catalog.TypeDocumentChunk {
			count++
		}
		return true
	})
	return count
}

func (g *testGateway) activeSerial() uint32 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.active
}

// leases returns the number of leases that the gateway was granted in a term.
func (g *testGateway) leases(term uint64) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.granted[term]
}

// partition drops all messages between one address and the others, in both directions.
func (f *fleet) partition(address string, others ...string) {
	f.setPartition(f.network.Partition, address, others)
}

func (f *fleet) heal(address string, others ...string) {
	f.setPartition(f.network.Heal, address, others)
}

func (f *fleet) setPartition(change func(from, to string), address string, others []string) {
	for _, other := range others {
		change(address, other)
		change(other, address)
	}
}

// freeze blocks a node's event loop for a time, while incoming events are queued.
func (f *fleet) freeze(node *Node, length time.Duration) {
	node.queue.Offer(func(time.Duration) { time.Sleep(length) })
}
