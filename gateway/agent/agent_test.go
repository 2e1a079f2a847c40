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

// testTimeout bounds each wait of a test.
const testTimeout = 10 * time.Second

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

// controlNode responds to renewals with a given grant.
type controlNode struct {
	network transport.Network
	mutex   sync.Mutex
	grant   peer.Grant
	table   *registry.Table // source of the transfers, if set
	renewed int
	last    peer.Renew
	// unresponsive nodes never respond, like those without power.
	unresponsive atomic.Bool
	// delay is the time to a response.
	delay time.Duration
}

func newControlNode(t *testing.T, memory *transport.Memory, name string) *controlNode {
	t.Helper()
	c := &controlNode{network: memory.Node(name, name)}
	c.network.Handle(peer.KindRenew, func(ctx context.Context, _ string, decode func(any) error) (any, error) {
		if c.unresponsive.Load() {
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

func (c *controlNode) setGrant(grant peer.Grant) {
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

// startAgent starts an agent with the options, which it completes. stop stops the
// agent and closes its network.
func startAgent(t *testing.T, network transport.Network, options Options) (a *Agent, stop func()) {
	t.Helper()
	started := time.Now()
	if options.Clock == nil {
		options.Clock = func() time.Duration { return time.Since(started) }
	}
	options.Network = network
	options.LeaseConfig = lease.DefaultConfig()
	options.Logger = slog.New(slog.DiscardHandler)
	a = New(options)
	if err := network.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var loop sync.WaitGroup
	loop.Go(func() { a.Run(ctx) })
	return a, func() {
		cancel()
		loop.Wait()
		if err := network.Close(); err != nil {
			t.Errorf("closing the agent's network: %v", err)
		}
	}
}

// TestAgentLifecycle takes an agent through a redirect of a seed, a lease, a serial
// that is received before it is active, a new primary at an address that no seed
// names, messages of a former primary, which must be ignored, and the release.
func TestAgentLifecycle(t *testing.T) {
	memory := transport.NewMemory()
	c1, c2, c3 := newControlNode(t, memory, "c1"), newControlNode(t, memory, "c2"), newControlNode(t, memory, "c3")
	table := newTable(t)
	c1.table, c3.table = table, table
	c2.setGrant(peer.Grant{Cluster: "c", Term: 1, Primary: "c1", ControlAddresses: []string{"c1", "c2"}})
	c1.setGrant(peer.Grant{Granted: true, Cluster: "c", Term: 1, LeaseMS: 1800, ActivationSerial: 10, ControlAddresses: []string{"c1", "c3"}})

	var skew atomic.Int64
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) + time.Duration(skew.Load()) }
	var activations []uint32
	a, stopAgent := startAgent(t, memory.Node("g1", "g1"), Options{
		Gateway:    peer.GatewayInfo{Name: "g1", Incarnation: "i"},
		Seeds:      []string{"c2"},
		Clock:      clock,
		OnActivate: func(state *catalog.State) { activations = append(activations, state.Serial()) },
	})
	defer stopAgent()

	waitFor(t, "a lease through the seed's redirect", func() bool { return a.Valid() && a.Active() != nil && a.Active().Serial() == 10 })
	addVersion(table, 1)
	c1.network.Send("g1", peer.KindNotify, &peer.Notify{Cluster: "c", Term: 1, Primary: "c1", Serial: 11})
	waitFor(t, "serial 11 to be received", func() bool { return c1.lastRenew().ReceivedSerial == 11 })
	if a.Active().Serial() != 10 {
		t.Fatalf("serial %d is active before it may be", a.Active().Serial())
	}
	if a.ConfirmVersion(7) || a.Active().Serial() != 10 {
		t.Fatal("a version that was not received became active")
	}
	waiting, stop := context.WithTimeout(t.Context(), testTimeout)
	defer stop()
	versioned := make(chan error, 1)
	go func() { versioned <- a.AwaitVersion(waiting, 1) }()
	c1.network.Send("g1", peer.KindNotify, &peer.Notify{Cluster: "c", Term: 1, Primary: "c1", Serial: 11, ActivationSerial: 11})
	if err := <-versioned; err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the primary to learn of it", func() bool { renew := c1.lastRenew(); return renew.ActiveSerial == 11 && renew.ActiveVersion == 1 })

	addVersion(table, 2)
	c1.setGrant(peer.Grant{Cluster: "c", Term: 2, Primary: "c3"})
	c3.setGrant(peer.Grant{Granted: true, Cluster: "c", Term: 2, LeaseMS: 1800, ActivationSerial: 12})
	waitFor(t, "the new primary", func() bool { return a.Status().Primary == "c3" && a.Active().Serial() == 12 })
	c1.network.Send("g1", peer.KindNotify, &peer.Notify{Cluster: "c", Term: 1, Primary: "c1", ActivationSerial: 13})
	c1.network.Send("g1", peer.KindNotify, &peer.Notify{Cluster: "other", Term: 9, Primary: "c1", ActivationSerial: 13})
	c3.setGrant(peer.Grant{Cluster: "c", Term: 2})
	c1.setGrant(peer.Grant{Granted: true, Cluster: "c", Term: 1, LeaseMS: 1800, ActivationSerial: 13})
	skew.Add(int64(time.Hour))
	if a.Valid() {
		t.Fatal("the lease is valid after its expiry")
	}
	before := a.Status().RejectedRenewals
	waitFor(t, "some rejected renewals", func() bool { return a.Status().RejectedRenewals > before+4 })
	if a.Valid() || a.Status().Term != 2 {
		t.Fatal("accepted a lease of an older term")
	}
	c3.setGrant(peer.Grant{Granted: true, Cluster: "c", Term: 3, LeaseMS: 1800, ActivationSerial: 12})
	waitFor(t, "a lease again", a.Valid)
	a.ReleaseLease(t.Context())
	if a.Valid() || !c3.lastRenew().Gateway.Draining {
		t.Fatal("did not release the lease")
	}
	if len(activations) != 3 {
		t.Fatalf("activations %v", activations)
	}
}

// TestRedirectCarriesTermAndTransfer checks that an agent applies the transfer of a
// redirect without activating it, and that its first renewal at the primary reports
// both the serial and the term.
func TestRedirectCarriesTermAndTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := transport.NewMemory()
		c1, c2 := newControlNode(t, memory, "c1"), newControlNode(t, memory, "c2")
		whole := newTable(t).TransferSince(0)
		c2.setGrant(peer.Grant{Cluster: "c", Term: 4, Primary: "c1", ControlAddresses: []string{"c1", "c2"}, Transfer: &whole})
		c1.setGrant(peer.Grant{Granted: true, Cluster: "c", Term: 4})
		a, stop := startAgent(t, memory.Node("g", "g"), Options{
			Gateway: peer.GatewayInfo{Name: "g", Incarnation: "i"},
			Seeds:   []string{"c2"},
		})
		for c1.lastRenew().Gateway.Name == "" {
			time.Sleep(time.Millisecond)
		}
		first := c1.lastRenew()
		if first.ReceivedSerial != 10 || first.Term != 4 || first.ActiveSerial != 0 || a.Active() != nil {
			t.Errorf("the first renewal reports serial %d of term %d, active %d", first.ReceivedSerial, first.Term, first.ActiveSerial)
		}
		c1.setGrant(peer.Grant{Granted: true, Cluster: "c", Term: 4, LeaseMS: 1800, ActivationSerial: 10})
		time.Sleep(time.Second)
		if a.Active() == nil || a.Active().Serial() != 10 || !a.Valid() {
			t.Error("the received serial is not active")
		}
		stop()
		_, _ = c1.network.Close(), c2.network.Close()
	})
}

// Times after a loss of all power at which the control nodes respond again, and at
// which one of them is the primary.
const (
	restartTime  = 200 * time.Millisecond
	electionTime = 450 * time.Millisecond
)

// TestLeaseSoonAfterPowerLoss starts a gateway before the control nodes, so that it
// calls each of them too early. Whichever it called first, it has a lease soon after
// there is a primary.
func TestLeaseSoonAfterPowerLoss(t *testing.T) {
	for i := range 30 {
		name := fmt.Sprint("gateway-", i)
		synctest.Test(t, func(t *testing.T) { startAfterPowerLoss(t, name, 0, 200*time.Millisecond) })
	}
}

// TestRemoteControlNodes checks that a first renewal to a remote node, which takes
// four round trips with dialing and handshake, does not time out.
func TestRemoteControlNodes(t *testing.T) {
	const fourRoundTrips = 4 * 70 * time.Millisecond
	for i := range 30 {
		name := fmt.Sprint("gateway-", i)
		synctest.Test(t, func(t *testing.T) { startAfterPowerLoss(t, name, fourRoundTrips, 2*fourRoundTrips+2*searchInterval) })
	}
}

// startAfterPowerLoss starts a gateway before its control nodes, and checks that it
// has a lease within a bound after the election.
func startAfterPowerLoss(t *testing.T, name string, delay, bound time.Duration) {
	t.Helper()
	memory := transport.NewMemory()
	nodes := map[string]*controlNode{}
	for _, node := range []string{"c1", "c2", "c3"} {
		nodes[node] = newControlNode(t, memory, node)
		nodes[node].table = newTable(t)
		nodes[node].delay = delay
		nodes[node].unresponsive.Store(true)
	}
	a, stop := startAgent(t, memory.Node("g", "g"), Options{
		Gateway: peer.GatewayInfo{Name: name, Incarnation: "i"},
		Seeds:   []string{"c1", "c2", "c3"},
	})
	time.Sleep(restartTime)
	for _, node := range nodes {
		node.unresponsive.Store(false)
	}
	time.Sleep(electionTime - restartTime)
	for _, node := range nodes {
		node.setGrant(peer.Grant{Cluster: "c", Term: 1, Primary: "c3", ControlAddresses: []string{"c1", "c2", "c3"}})
	}
	nodes["c3"].setGrant(peer.Grant{Granted: true, Cluster: "c", Term: 1, LeaseMS: 1800, ActivationSerial: 10})
	time.Sleep(bound)
	if !a.Valid() {
		t.Errorf("%s has no lease %v after there is a primary", name, bound)
	}
	stop()
	for _, node := range nodes {
		if err := node.network.Close(); err != nil {
			t.Errorf("closing a control node's network: %v", err)
		}
	}
}

// TestTransferGapDiscardsCopy applies a transfer that does not continue the table, and
// then more versions than may be pending.
func TestTransferGapDiscardsCopy(t *testing.T) {
	memory := transport.NewMemory()
	a := New(Options{Network: memory.Node("g", "g"), LeaseConfig: lease.DefaultConfig(), Clock: func() time.Duration { return 0 }, Logger: slog.New(slog.DiscardHandler)})
	table := newTable(t)
	if changed, err := a.applyTransfer(table.TransferSince(0)); err != nil || !changed {
		t.Fatal(changed, err)
	}
	a.activate(10)
	if _, err := a.applyTransfer(registry.Transfer{From: 40, To: 41}); !errors.Is(err, registry.ErrGap) {
		t.Fatalf("got %v", err)
	}
	if a.receivedSerialLocked() != 0 || a.Active().Serial() != 10 {
		t.Fatal("the next renewal does not request a full transfer")
	}
	for version := range uint64(2 * maxPending) {
		addVersion(table, version+1)
		if _, err := a.applyTransfer(table.TransferSince(a.receivedSerialLocked())); err != nil {
			t.Fatal(err)
		}
	}
	if len(a.pending) > maxPending || !a.activate(table.Serial()) || a.Active().Version() != 2*maxPending {
		t.Fatalf("%d pending", len(a.pending))
	}
}
