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

// waitFor polls a condition until it is true, and fails the test after testTimeout.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

// fakeControlNode is a fake control node that answers every renewal with a configured
// grant.
type fakeControlNode struct {
	network  transport.Network
	mutex    sync.Mutex
	grant    peer.Grant
	hello    *peer.HelloReply // the answer to Hello; nil for an error
	table    *registry.Table  // added to a grant as a transfer if the gateway is behind; may be nil
	renewals int
	last     peer.Renew
	// unresponsive makes calls wait until their timeout, as with a node without power.
	unresponsive atomic.Bool
	// delay is the time before each response.
	delay time.Duration
}

// newFakeControlNode starts a fake control node with the given name and address.
func newFakeControlNode(t *testing.T, memory *transport.Memory, name string) *fakeControlNode {
	t.Helper()
	c := &fakeControlNode{network: memory.Node(name, name)}
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
		c.renewals++
		c.last = renew
		grant := c.grant
		if c.table != nil && grant.QuorumConfirmed && renew.ReceivedSerial != c.table.Serial() {
			transfer := c.table.TransferSince(renew.ReceivedSerial)
			grant.Transfer = &transfer
		}
		return &grant, nil
	})
	c.network.Handle(peer.KindHello, func(context.Context, string, func(any) error) (any, error) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if c.hello == nil {
			return nil, errNoControlNode
		}
		return c.hello, nil
	})
	if err := c.network.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.network.Close() })
	return c
}

func (c *fakeControlNode) setGrant(grant peer.Grant) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.grant = grant
}

func (c *fakeControlNode) lastRenew() peer.Renew {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.last
}

// newTable returns a registry table with serial 10.
func newTable(t *testing.T) *registry.Table {
	t.Helper()
	table, err := registry.New(catalog.Apex, catalog.Schema(), registry.SOA{Primary: "c1", Serial: 10}, []string{"c1"})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// addVersion adds a configuration version to the table, which increments its serial.
func addVersion(table *registry.Table, version uint64) {
	update := registry.NewUpdate(catalog.Apex, nil, []registry.Record{registry.Add(catalog.ConfigurationRecord(catalog.Configuration{Version: version}))})
	table.Apply(&update, nil)
}

// startAgent starts an agent. It sets the network, the lease configuration, the logger
// and, if nil, the clock of the options. stop stops the agent and closes its network.
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

// TestAgentLifecycle verifies that an agent obtains a lease through a seed's redirect,
// activates a received serial only after the primary approves it, follows a new primary
// whose address is not among the seeds, ignores messages of a former primary and of
// another cluster, and releases its lease.
func TestAgentLifecycle(t *testing.T) {
	memory := transport.NewMemory()
	c1, c2, c3 := newFakeControlNode(t, memory, "c1"), newFakeControlNode(t, memory, "c2"), newFakeControlNode(t, memory, "c3")
	table := newTable(t)
	c1.table, c3.table = table, table
	c2.setGrant(peer.Grant{Cluster: "c", Term: 1, Primary: "c1", ControlAddresses: []string{"c1", "c2"}})
	c1.setGrant(peer.Grant{QuorumConfirmed: true, Cluster: "c", Term: 1, LeaseMS: 1800, ActivationSerial: 10, ControlAddresses: []string{"c1", "c3"}})

	var clockOffset atomic.Int64
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) + time.Duration(clockOffset.Load()) }
	var activations []uint32
	a, stopAgent := startAgent(t, memory.Node("g1", "g1"), Options{
		Gateway:    peer.GatewayInfo{Name: "g1", Incarnation: "i"},
		Seeds:      []string{"c2"},
		Clock:      clock,
		OnActivate: func(state *catalog.State) { activations = append(activations, state.Serial()) },
	})
	defer stopAgent()

	waitFor(t, "a lease after the seed's redirect", func() bool { return a.Valid() && a.Active() != nil && a.Active().Serial() == 10 })
	addVersion(table, 1)
	c1.network.Send("g1", peer.KindNotify, &peer.Notify{Cluster: "c", Term: 1, Primary: "c1", Serial: 11})
	waitFor(t, "serial 11 to be reported as received", func() bool { return c1.lastRenew().ReceivedSerial == 11 })
	if a.Active().Serial() != 10 {
		t.Fatalf("active serial is %d before the primary approved a later one, want 10", a.Active().Serial())
	}
	if a.ConfirmVersion(7) || a.Active().Serial() != 10 {
		t.Fatal("version 7 was confirmed or activated although it was not received")
	}
	waitContext, cancelWait := context.WithTimeout(t.Context(), testTimeout)
	defer cancelWait()
	awaited := make(chan error, 1)
	go func() { awaited <- a.AwaitVersion(waitContext, 1) }()
	c1.network.Send("g1", peer.KindNotify, &peer.Notify{Cluster: "c", Term: 1, Primary: "c1", Serial: 11, ActivationSerial: 11})
	if err := <-awaited; err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the activation to be reported to the primary", func() bool { renew := c1.lastRenew(); return renew.ActiveSerial == 11 && renew.ActiveVersion == 1 })

	addVersion(table, 2)
	c1.setGrant(peer.Grant{Cluster: "c", Term: 2, Primary: "c3"})
	c3.setGrant(peer.Grant{QuorumConfirmed: true, Cluster: "c", Term: 2, LeaseMS: 1800, ActivationSerial: 12})
	waitFor(t, "serial 12 from the new primary", func() bool { return a.Status().Primary == "c3" && a.Active().Serial() == 12 })
	c1.network.Send("g1", peer.KindNotify, &peer.Notify{Cluster: "c", Term: 1, Primary: "c1", ActivationSerial: 13})
	c1.network.Send("g1", peer.KindNotify, &peer.Notify{Cluster: "other", Term: 9, Primary: "c1", ActivationSerial: 13})
	c3.setGrant(peer.Grant{Cluster: "c", Term: 2})
	c1.setGrant(peer.Grant{QuorumConfirmed: true, Cluster: "c", Term: 1, LeaseMS: 1800, ActivationSerial: 13})
	clockOffset.Add(int64(time.Hour))
	if a.Valid() {
		t.Fatal("the lease is still valid after its expiry")
	}
	before := a.Status().RejectedRenewals
	waitFor(t, "five more rejected renewals", func() bool { return a.Status().RejectedRenewals > before+4 })
	if a.Valid() || a.Status().Term != 2 {
		t.Fatal("the agent accepted a lease grant of term 1 after term 2")
	}
	c3.setGrant(peer.Grant{QuorumConfirmed: true, Cluster: "c", Term: 3, LeaseMS: 1800, ActivationSerial: 12})
	waitFor(t, "a lease in term 3", a.Valid)
	a.ReleaseLease(t.Context())
	if a.Valid() || !c3.lastRenew().Gateway.Draining {
		t.Fatal("the lease is still valid after its release, or the primary was not notified")
	}
	if len(activations) != 3 {
		t.Fatalf("activated serials %v, want 3 of them", activations)
	}
}

// TestRedirectCarriesTermAndTransfer verifies that an agent applies the transfer of a
// redirect without activating it, and that its first renewal sent to the primary
// reports the received serial and the term.
func TestRedirectCarriesTermAndTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := transport.NewMemory()
		c1, c2 := newFakeControlNode(t, memory, "c1"), newFakeControlNode(t, memory, "c2")
		fullTransfer := newTable(t).TransferSince(0)
		c2.setGrant(peer.Grant{Cluster: "c", Term: 4, Primary: "c1", ControlAddresses: []string{"c1", "c2"}, Transfer: &fullTransfer})
		c1.setGrant(peer.Grant{QuorumConfirmed: true, Cluster: "c", Term: 4})
		a, stop := startAgent(t, memory.Node("g", "g"), Options{
			Gateway: peer.GatewayInfo{Name: "g", Incarnation: "i"},
			Seeds:   []string{"c2"},
		})
		for c1.lastRenew().Gateway.Name == "" {
			time.Sleep(time.Millisecond)
		}
		first := c1.lastRenew()
		if first.ReceivedSerial != 10 || first.Term != 4 || first.ActiveSerial != 0 || a.Active() != nil {
			t.Errorf("the first renewal reports received serial %d, term %d and active serial %d; want 10, 4 and 0", first.ReceivedSerial, first.Term, first.ActiveSerial)
		}
		c1.setGrant(peer.Grant{QuorumConfirmed: true, Cluster: "c", Term: 4, LeaseMS: 1800, ActivationSerial: 10})
		time.Sleep(time.Second)
		if a.Active() == nil || a.Active().Serial() != 10 || !a.Valid() {
			t.Error("the granted lease is not valid, or serial 10 is not active")
		}
		stop()
		_, _ = c1.network.Close(), c2.network.Close()
	})
}

// Times since the start of the gateway at which the control nodes respond, and at
// which one of them becomes the primary.
const (
	restartTime  = 200 * time.Millisecond
	electionTime = 450 * time.Millisecond
)

// TestLeaseSoonAfterPowerLoss verifies that a gateway that starts before the control
// nodes, as after a power failure of the whole cluster, has a lease soon after the
// election, whichever node it calls first. The name of the gateway determines that
// node. A long timeout or wait after the first failed calls would delay the lease.
func TestLeaseSoonAfterPowerLoss(t *testing.T) {
	for i := range 30 {
		name := fmt.Sprint("gateway-", i)
		synctest.Test(t, func(t *testing.T) { testLeaseAfterElection(t, name, 0, 200*time.Millisecond) })
	}
}

// TestFirstRenewalToDistantNode verifies that the first renewal sent to a distant
// node, which takes four round trips including dialing and handshake, does not time
// out.
func TestFirstRenewalToDistantNode(t *testing.T) {
	const fourRoundTrips = 4 * 70 * time.Millisecond
	for i := range 30 {
		name := fmt.Sprint("gateway-", i)
		synctest.Test(t, func(t *testing.T) { testLeaseAfterElection(t, name, fourRoundTrips, 2*fourRoundTrips+2*searchInterval) })
	}
}

// testLeaseAfterElection starts a gateway before its control nodes respond and checks
// that it has a lease within the bound after the election. delay is the response time
// of the nodes.
func testLeaseAfterElection(t *testing.T, name string, delay, bound time.Duration) {
	t.Helper()
	memory := transport.NewMemory()
	nodes := map[string]*fakeControlNode{}
	for _, node := range []string{"c1", "c2", "c3"} {
		nodes[node] = newFakeControlNode(t, memory, node)
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
	nodes["c3"].setGrant(peer.Grant{QuorumConfirmed: true, Cluster: "c", Term: 1, LeaseMS: 1800, ActivationSerial: 10})
	time.Sleep(bound)
	if !a.Valid() {
		t.Errorf("%s has no valid lease %v after the election", name, bound)
	}
	stop()
	for _, node := range nodes {
		if err := node.network.Close(); err != nil {
			t.Errorf("closing a control node's network: %v", err)
		}
	}
}

// TestTransferGapDiscardsTable verifies that a transfer that does not start at the
// table's serial discards the replica but not the active state, and that the newest
// version can be activated after more versions than may be pending were received.
func TestTransferGapDiscardsTable(t *testing.T) {
	memory := transport.NewMemory()
	a := New(Options{Network: memory.Node("g", "g"), LeaseConfig: lease.DefaultConfig(), Clock: func() time.Duration { return 0 }, Logger: slog.New(slog.DiscardHandler)})
	table := newTable(t)
	if changed, err := a.applyTransfer(table.TransferSince(0)); err != nil || !changed {
		t.Fatal(changed, err)
	}
	a.activate(10)
	if _, err := a.applyTransfer(registry.Transfer{From: 40, To: 41}); !errors.Is(err, registry.ErrGap) {
		t.Fatalf("applying a transfer after a gap: got error %v, want ErrGap", err)
	}
	if a.receivedSerialLocked() != 0 || a.Active().Serial() != 10 {
		t.Fatal("after a gap the replica was not discarded, or serial 10 is no longer active")
	}
	for version := range uint64(2 * maxPending) {
		addVersion(table, version+1)
		if _, err := a.applyTransfer(table.TransferSince(a.receivedSerialLocked())); err != nil {
			t.Fatal(err)
		}
	}
	if len(a.pending) > maxPending || !a.activate(table.Serial()) || a.Active().Version() != 2*maxPending {
		t.Fatalf("too many pending states (%d), or the newest version did not become active", len(a.pending))
	}
}
