package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/transport"
)

const patience = 10 * time.Second

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("waited in vain for %s", what)
}

// controlNode answers renewals as it is told.
type controlNode struct {
	network transport.Network
	mutex   sync.Mutex
	grant   peer.Grant
	table   *registry.Table // transfers are made from it, if set
	renewed int
	last    peer.Renew
	// silent nodes answer nothing, as those without power.
	silent atomic.Bool
	// delay is how long an answer takes.
	delay time.Duration
}

func newControlNode(t *testing.T, memory *transport.Memory, name string) *controlNode {
	t.Helper()
	c := &controlNode{network: memory.Node(name, name)}
	c.network.Handle(peer.KindRenew, func(ctx context.Context, _ string, decode func(any) error) (any, error) {
		if c.silent.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		var renew peer.Renew
		if err := decode(&renew); err != nil {
			return nil, err
		}
		time.Sleep(c.delay)
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.renewed++
		c.last = renew
		grant := c.grant
		if c.table != nil && grant.Granted && renew.ReceivedSerial != c.table.Serial() {
			transfer := c.table.TransferSince(renew.ReceivedSerial)
			grant.Transfer = &transfer
		}
		return &grant, nil
	})
	if err := c.network.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.network.Close() })
	return c
}

func (c *controlNode) set(grant peer.Grant) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.grant = grant
}

func (c *controlNode) lastRenew() peer.Renew {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.last
}

func newTable(t *testing.T) *registry.Table {
	t.Helper()
	table, err := registry.New(catalog.Apex, catalog.Schema(), registry.SOA{Primary: "c1", Serial: 10}, []string{"c1"})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func addVersion(table *registry.Table, version uint64) {
	update := registry.NewUpdate(catalog.Apex, nil, []registry.Record{registry.Add(catalog.ConfigurationRecord(catalog.Configuration{Version: version}))})
	table.Apply(&update, nil)
}

// TestAgent takes an agent through its life: a seed that is no primary, a lease,
// a serial that is held before it is active, a new primary at an address that no
// seed names, an old primary that must not be listened to, and the end.
func TestAgent(t *testing.T) {
	memory := transport.NewMemory()
	c1, c2, c3 := newControlNode(t, memory, "c1"), newControlNode(t, memory, "c2"), newControlNode(t, memory, "c3")
	table := newTable(t)
	c1.table, c3.table = table, table
	c2.set(peer.Grant{Cluster: "c", Term: 1, Primary: "c1", ControlAddresses: []string{"c1", "c2"}})
	c1.set(peer.Grant{Granted: true, Cluster: "c", Term: 1, LeaseMS: 1800, ActivationSerial: 10, ControlAddresses: []string{"c1", "c3"}})

	var skew atomic.Int64
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) + time.Duration(skew.Load()) }
	var activations []uint32
	network := memory.Node("g1", "g1")
	a := New(Options{
		Gateway: peer.GatewayInfo{Name: "g1", Incarnation: "i"}, Seeds: []string{"c2"}, LeaseConfig: lease.DefaultConfig(),
		Network: network, Clock: clock, Logger: slog.New(slog.DiscardHandler),
		OnActivate: func(contents *catalog.State) { activations = append(activations, contents.Serial()) },
	})
	if err := network.Start(); err != nil {
		t.Fatal(err)
	}
	defer network.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var loop sync.WaitGroup
	loop.Go(func() { a.Run(ctx) })
	defer loop.Wait()
	defer cancel()

	waitFor(t, "a lease through the seed's hint", func() bool { return a.Valid() && a.Active() != nil && a.Active().Serial() == 10 })
	addVersion(table, 1)
	c1.network.Send("g1", peer.KindNotify, &peer.Notify{Cluster: "c", Term: 1, Primary: "c1", Serial: 11})
	waitFor(t, "serial 11 to be held", func() bool { return c1.lastRenew().ReceivedSerial == 11 })
	if a.Active().Serial() != 10 {
		t.Fatalf("serial %d is active before it may be", a.Active().Serial())
	}
	if a.ConfirmVersion(7) || a.Active().Serial() != 10 {
		t.Fatal("a version that is not held became active")
	}
	waiting, stop := context.WithTimeout(ctx, patience)
	defer stop()
	versioned := make(chan error, 1)
	go func() { versioned <- a.AwaitVersion(waiting, 1) }()
	c1.network.Send("g1", peer.KindNotify, &peer.Notify{Cluster: "c", Term: 1, Primary: "c1", Serial: 11, ActivationSerial: 11})
	if err := <-versioned; err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the primary to learn of it", func() bool { renew := c1.lastRenew(); return renew.ActiveSerial == 11 && renew.ActiveVersion == 1 })

	addVersion(table, 2)
	c1.set(peer.Grant{Cluster: "c", Term: 2, Primary: "c3"})
	c3.set(peer.Grant{Granted: true, Cluster: "c", Term: 2, LeaseMS: 1800, ActivationSerial: 12})
	waitFor(t, "the new primary", func() bool { return a.Status().Primary == "c3" && a.Active().Serial() == 12 })
	c1.network.Send("g1", peer.KindNotify, &peer.Notify{Cluster: "c", Term: 1, Primary: "c1", ActivationSerial: 13})
	c1.network.Send("g1", peer.KindNotify, &peer.Notify{Cluster: "other", Term: 9, Primary: "c1", ActivationSerial: 13})
	c3.set(peer.Grant{Cluster: "c", Term: 2})
	c1.set(peer.Grant{Granted: true, Cluster: "c", Term: 1, LeaseMS: 1800, ActivationSerial: 13})
	skew.Add(int64(time.Hour))
	if a.Valid() {
		t.Fatal("the lease outlives its time")
	}
	before := a.Status().RejectedRenewals
	waitFor(t, "some refused renewals", func() bool { return a.Status().RejectedRenewals > before+4 })
	if a.Valid() || a.Status().Term != 2 {
		t.Fatal("took a lease of an older term")
	}
	c3.set(peer.Grant{Granted: true, Cluster: "c", Term: 3, LeaseMS: 1800, ActivationSerial: 12})
	waitFor(t, "a lease again", a.Valid)
	a.ReleaseLease(ctx)
	if a.Valid() || !c3.lastRenew().Gateway.Draining {
		t.Fatal("did not leave")
	}
	if len(activations) != 3 {
		t.Fatalf("activations %v", activations)
	}
}

// TestAHintBringsTermAndTable: another node's answer that names the primary brings the
// table too, which is held and not made active, and the first renewal at the primary
// says both that it is held and that older grants are dropped.
func TestAHintBringsTermAndTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := transport.NewMemory()
		c1, c2 := newControlNode(t, memory, "c1"), newControlNode(t, memory, "c2")
		whole := newTable(t).TransferSince(0)
		c2.set(peer.Grant{Cluster: "c", Term: 4, Primary: "c1", ControlAddresses: []string{"c1", "c2"}, Transfer: &whole})
		c1.set(peer.Grant{Granted: true, Cluster: "c", Term: 4})
		network := memory.Node("g", "g")
		started := time.Now()
		a := New(Options{
			Gateway: peer.GatewayInfo{Name: "g", Incarnation: "i"}, Seeds: []string{"c2"}, LeaseConfig: lease.DefaultConfig(),
			Network: network, Clock: func() time.Duration { return time.Since(started) }, Logger: slog.New(slog.DiscardHandler),
		})
		if err := network.Start(); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var loop sync.WaitGroup
		loop.Go(func() { a.Run(ctx) })
		for c1.lastRenew().Gateway.Name == "" {
			time.Sleep(time.Millisecond)
		}
		first := c1.lastRenew()
		if first.ReceivedSerial != 10 || first.Term != 4 || first.ActiveSerial != 0 || a.Active() != nil {
			t.Errorf("the first renewal holds %d of term %d, active %d", first.ReceivedSerial, first.Term, first.ActiveSerial)
		}
		c1.set(peer.Grant{Granted: true, Cluster: "c", Term: 4, LeaseMS: 1800, ActivationSerial: 10})
		time.Sleep(time.Second)
		if a.Active() == nil || a.Active().Serial() != 10 || !a.Valid() {
			t.Error("what was held is not active")
		}
		cancel()
		loop.Wait()
		_ = network.Close()
		_, _ = c1.network.Close(), c2.network.Close()
	})
}

// Times of a start after a loss of all power.
const (
	returnTime   = 200 * time.Millisecond
	electionTime = 450 * time.Millisecond
)

// TestAFreshAgentFindsANewPrimarySoon: after a loss of all power a gateway is back
// before the control nodes are, and asks each of them too early. Whichever it asked
// first, it has a lease soon after there is a primary.
func TestAFreshAgentFindsANewPrimarySoon(t *testing.T) {
	for i := range 30 {
		name := fmt.Sprint("gateway-", i)
		synctest.Test(t, func(t *testing.T) { startAfterPowerLoss(t, name, 0, 200*time.Millisecond) })
	}
}

// TestFarControlNodesAreWaitedFor: a first renewal over a long distance, with the
// dialling and the handshake before it, is not given up for being slow.
func TestFarControlNodesAreWaitedFor(t *testing.T) {
	const fourTrips = 4 * 70 * time.Millisecond
	for i := range 30 {
		name := fmt.Sprint("gateway-", i)
		synctest.Test(t, func(t *testing.T) { startAfterPowerLoss(t, name, fourTrips, 2*fourTrips+2*searchPause) })
	}
}

// startAfterPowerLoss starts a gateway before its control nodes, and holds that it has
// a lease within a bound after the election.
func startAfterPowerLoss(t *testing.T, name string, delay, bound time.Duration) {
	t.Helper()
	memory := transport.NewMemory()
	nodes := map[string]*controlNode{}
	for _, node := range []string{"c1", "c2", "c3"} {
		nodes[node] = newControlNode(t, memory, node)
		nodes[node].table = newTable(t)
		nodes[node].delay = delay
		nodes[node].silent.Store(true)
	}
	network := memory.Node("g", "g")
	started := time.Now()
	a := New(Options{
		Gateway: peer.GatewayInfo{Name: name, Incarnation: "i"}, Seeds: []string{"c1", "c2", "c3"}, LeaseConfig: lease.DefaultConfig(),
		Network: network, Clock: func() time.Duration { return time.Since(started) }, Logger: slog.New(slog.DiscardHandler),
	})
	if err := network.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var loop sync.WaitGroup
	loop.Go(func() { a.Run(ctx) })
	time.Sleep(returnTime)
	for _, node := range nodes {
		node.silent.Store(false)
	}
	time.Sleep(electionTime - returnTime)
	for _, node := range nodes {
		node.set(peer.Grant{Cluster: "c", Term: 1, Primary: "c3", ControlAddresses: []string{"c1", "c2", "c3"}})
	}
	nodes["c3"].set(peer.Grant{Granted: true, Cluster: "c", Term: 1, LeaseMS: 1800, ActivationSerial: 10})
	time.Sleep(bound)
	if !a.Valid() {
		t.Errorf("%s has no lease %v after there is a primary", name, bound)
	}
	cancel()
	loop.Wait()
	_ = network.Close()
	for _, node := range nodes {
		_ = node.network.Close()
	}
}

// TestCopyIsDiscarded gives the agent a transfer that does not fit.
func TestCopyIsDiscarded(t *testing.T) {
	memory := transport.NewMemory()
	a := New(Options{Network: memory.Node("g", "g"), LeaseConfig: lease.DefaultConfig(), Clock: func() time.Duration { return 0 }, Logger: slog.New(slog.DiscardHandler)})
	table := newTable(t)
	if took, err := a.take(table.TransferSince(0)); err != nil || !took {
		t.Fatal(took, err)
	}
	a.activate(10)
	if _, err := a.take(registry.Transfer{From: 40, To: 41}); !errors.Is(err, registry.ErrGap) {
		t.Fatalf("got %v", err)
	}
	if a.heldLocked() != 0 || a.Active().Serial() != 10 {
		t.Fatal("the next renewal does not ask for everything")
	}
	for version := range uint64(2 * maxPending) {
		addVersion(table, version+1)
		if _, err := a.take(table.TransferSince(a.heldLocked())); err != nil {
			t.Fatal(err)
		}
	}
	if len(a.pending) > maxPending || !a.activate(table.Serial()) || a.Active().Version() != 2*maxPending {
		t.Fatalf("%d pending", len(a.pending))
	}
}
