package agent

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/places"
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
}

func newControlNode(t *testing.T, memory *transport.Memory, name string) *controlNode {
	c := &controlNode{network: memory.Node(name, name)}
	c.network.Handle(peer.KindRenew, func(_ context.Context, _ string, decode func(any) error) (any, error) {
		var renew peer.Renew
		if err := decode(&renew); err != nil {
			return nil, err
		}
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.renewed++
		c.last = renew
		grant := c.grant
		if c.table != nil && grant.Granted && renew.Held != c.table.Serial() {
			transfer := c.table.Difference(renew.Held)
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
	table, err := registry.New(places.Apex, places.Schema(), registry.Head{Primary: "c1", Serial: 10}, []string{"c1"})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func addVersion(table *registry.Table, version uint64) {
	update := registry.NewUpdate(places.Apex, nil, []registry.Record{registry.Add(places.ConfigurationRecord(places.Configuration{Version: version}))})
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
	c2.set(peer.Grant{Cluster: "c", Term: 1, Primary: "c1", Control: []string{"c1", "c2"}})
	c1.set(peer.Grant{Granted: true, Cluster: "c", Term: 1, LeaseMS: 1800, Activate: 10, Control: []string{"c1", "c3"}})

	var skew atomic.Int64
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) + time.Duration(skew.Load()) }
	var activations []uint32
	network := memory.Node("g1", "g1")
	a := New(Options{
		Gateway: peer.GatewayInfo{Name: "g1", Incarnation: "i"}, Seeds: []string{"c2"}, Terms: lease.DefaultTerms(),
		Network: network, Clock: clock, Logger: slog.New(slog.DiscardHandler),
		Activated: func(contents *places.Contents) { activations = append(activations, contents.Serial()) },
	})
	if err := network.Start(); err != nil {
		t.Fatal(err)
	}
	defer network.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var loop sync.WaitGroup
	loop.Go(func() { a.Run(ctx) })
	defer loop.Wait()
	defer cancel()

	waitFor(t, "a lease through the seed's hint", func() bool { return a.Valid() && a.Active() != nil && a.Active().Serial() == 10 })
	addVersion(table, 1)
	c1.network.Send("g1", peer.KindNotify, &peer.Notify{Cluster: "c", Term: 1, Primary: "c1", Serial: 11})
	waitFor(t, "serial 11 to be held", func() bool { return c1.lastRenew().Held == 11 })
	if a.Active().Serial() != 10 {
		t.Fatalf("serial %d is active before it may be", a.Active().Serial())
	}
	if a.Proven(7) || a.Active().Serial() != 10 {
		t.Fatal("a version that is not held became active")
	}
	waiting, stop := context.WithTimeout(ctx, patience)
	defer stop()
	versioned := make(chan error, 1)
	go func() { versioned <- a.AwaitVersion(waiting, 1) }()
	c1.network.Send("g1", peer.KindNotify, &peer.Notify{Cluster: "c", Term: 1, Primary: "c1", Serial: 11, Activate: 11})
	if err := <-versioned; err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the primary to learn of it", func() bool { renew := c1.lastRenew(); return renew.Active == 11 && renew.ActiveVersion == 1 })

	addVersion(table, 2)
	c1.set(peer.Grant{Cluster: "c", Term: 2, Primary: "c3"})
	c3.set(peer.Grant{Granted: true, Cluster: "c", Term: 2, LeaseMS: 1800, Activate: 12})
	waitFor(t, "the new primary", func() bool { return a.Status().Primary == "c3" && a.Active().Serial() == 12 })
	c1.network.Send("g1", peer.KindNotify, &peer.Notify{Cluster: "c", Term: 1, Primary: "c1", Activate: 13})
	c1.network.Send("g1", peer.KindNotify, &peer.Notify{Cluster: "other", Term: 9, Primary: "c1", Activate: 13})
	c3.set(peer.Grant{Cluster: "c", Term: 2})
	c1.set(peer.Grant{Granted: true, Cluster: "c", Term: 1, LeaseMS: 1800, Activate: 13})
	skew.Add(int64(time.Hour))
	if a.Valid() {
		t.Fatal("the lease outlives its time")
	}
	before := a.Status().Refusals
	waitFor(t, "some refused renewals", func() bool { return a.Status().Refusals > before+4 })
	if a.Valid() || a.Status().Term != 2 {
		t.Fatal("took a lease of an older term")
	}
	c3.set(peer.Grant{Granted: true, Cluster: "c", Term: 3, LeaseMS: 1800, Activate: 12})
	waitFor(t, "a lease again", a.Valid)
	a.Leave(ctx)
	if a.Valid() || !c3.lastRenew().Gateway.Leaving {
		t.Fatal("did not leave")
	}
	if len(activations) != 3 {
		t.Fatalf("activations %v", activations)
	}
}

// TestCopyIsDiscarded gives the agent a transfer that does not fit.
func TestCopyIsDiscarded(t *testing.T) {
	memory := transport.NewMemory()
	a := New(Options{Network: memory.Node("g", "g"), Terms: lease.DefaultTerms(), Clock: func() time.Duration { return 0 }, Logger: slog.New(slog.DiscardHandler)})
	table := newTable(t)
	if took, err := a.take(table.Difference(0)); err != nil || !took {
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
		if _, err := a.take(table.Difference(a.heldLocked())); err != nil {
			t.Fatal(err)
		}
	}
	if len(a.pending) > maxPending || !a.activate(table.Serial()) || a.Active().Version() != 2*maxPending {
		t.Fatalf("%d pending", len(a.pending))
	}
}
