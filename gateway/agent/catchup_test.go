package agent

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/transport"
)

// maxCatchUpTime is the maximum time until a gateway decides by the newest state in force
// once it has a path to a gateway that does.
const maxCatchUpTime = 4 * time.Second

// staleGateway is a gateway without a control node, beside one that follows a primary.
type staleGateway struct {
	*replacedCore
	other     *Agent
	stopOther func()
}

// newStaleGateway returns a gateway whose state lacks two configuration versions that are
// active at g2. It has a path to g2 but to no control node.
func newStaleGateway(t *testing.T) *staleGateway {
	t.Helper()
	stale := &staleGateway{replacedCore: newReplacedCore(t)}
	stale.memory.Partition("g", "c3")
	stale.memory.Partition("g", "g2")
	stale.other, stale.stopOther = startAgent(t, stale.memory.Node("g2", "g2"), Options{
		Gateway: peer.GatewayInfo{Name: "g2", Incarnation: "i", PeerAddress: "g2"},
		Seeds:   []string{"c3"},
	})
	time.Sleep(time.Second)
	stale.addActiveVersion(1)
	stale.addActiveVersion(2)
	stale.memory.Heal("g", "g2")
	return stale
}

// addActiveVersion adds a configuration version that becomes active at g2.
func (stale *staleGateway) addActiveVersion(version uint64) {
	stale.t.Helper()
	addVersion(stale.table, version)
	stale.primary.setGrant(stale.grant(2, "c2", "c3"))
	time.Sleep(time.Second)
	if active := stale.other.Active(); active == nil || active.Version() != version {
		stale.t.Fatalf("version %d is not active at the other gateway", version)
	}
}

func (stale *staleGateway) expectVersion(version uint64) {
	stale.t.Helper()
	time.Sleep(maxCatchUpTime)
	if active := stale.gateway.Active(); active.Version() != version || active.Serial() != stale.other.Active().Serial() {
		stale.t.Errorf("the gateway decides by version %d and serial %d, want %d and %d", active.Version(), active.Serial(), version, stale.other.Active().Serial())
	}
}

func (stale *staleGateway) close() {
	stale.stopOther()
	stale.replacedCore.close()
}

// TestStaleGatewayTakesStateInForceFromGateway guards against a gateway that serves by an
// old configuration while the gateways beside it decide by a newer one.
func TestStaleGatewayTakesStateInForceFromGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stale := newStaleGateway(t)
		stale.expectVersion(2)
		stale.addActiveVersion(3)
		stale.expectVersion(3)
		stale.close()
	})
}

// TestStateTakenFromGatewayIsContinuedByPrimary checks that a primary goes on from the
// state that a gateway has taken from another one.
func TestStateTakenFromGatewayIsContinuedByPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stale := newStaleGateway(t)
		stale.expectVersion(2)
		taken := stale.gateway.Active().Serial()
		stale.memory.Heal("g", "c3")
		stale.expectLease()
		if received := stale.primary.lastRenew().ReceivedSerial; received < taken {
			t.Errorf("the gateway reports serial %d to the primary, want at least %d", received, taken)
		}
		stale.addActiveVersion(3)
		stale.expectVersion(3)
		stale.close()
	})
}

// TestReceivedStateDoesNotSpread guards against a state that spreads between gateways
// although no primary has approved its activation.
func TestReceivedStateDoesNotSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stale := newStaleGateway(t)
		approved := stale.grant(2, "c2", "c3")
		addVersion(stale.table, 3)
		stale.primary.setGrant(approved)
		time.Sleep(maxCatchUpTime)
		if received := stale.other.Status().ReceivedSerial; received != stale.table.Serial() {
			t.Fatalf("the other gateway has received serial %d, want %d", received, stale.table.Serial())
		}
		stale.expectVersion(2)
		stale.close()
	})
}

// TestStateOfOtherClusterIsNotTaken guards against a gateway that takes the state of
// another cluster, whose gateway has the address of one that it knew.
func TestStateOfOtherClusterIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := newReplacedCore(t)
		core.memory.Partition("g", "c3")
		before := core.gateway.Active().Serial()
		for range 3 {
			addVersion(core.table, uint64(core.table.Serial()))
		}
		foreign := core.memory.Node("g2", "g2")
		full := core.table.TransferSince(0)
		foreign.Handle(peer.KindHello, func(context.Context, string, func(any) error) (any, error) {
			return &peer.HelloReply{Name: "g2", Cluster: "c", ActiveSerial: full.To}, nil
		})
		foreign.Handle(peer.KindFetchState, func(context.Context, string, func(any) error) (any, error) {
			return &peer.FetchStateReply{Cluster: "other", ActiveSerial: full.To, Transfer: &full}, nil
		})
		if err := foreign.Start(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(maxCatchUpTime)
		if active := core.gateway.Active().Serial(); active != before {
			t.Errorf("the gateway decides by serial %d of another cluster, want %d", active, before)
		}
		if failed := core.gateway.Status().Fetches[FetchFailed]; failed == 0 {
			t.Error("no fetch failed")
		}
		_ = foreign.Close()
		core.close()
	})
}

// TestRestartedGatewayTakesStateInForceFromGateway guards against a gateway that, after a
// restart, rejects all requests until there is a primary, although the control node that it
// reaches knows a gateway that decides by the state in force.
func TestRestartedGatewayTakesStateInForceFromGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stale := newStaleGateway(t)
		stale.memory.Partition("g3", "c3")
		left := newFakeControlNode(t, stale.memory, "c5")
		left.hello = &peer.HelloReply{Identity: "c5", Cluster: "c", Gateways: []string{"g2"}}
		restarted, stop := startAgent(t, stale.memory.Node("g3", "g3"), Options{
			Gateway: peer.GatewayInfo{Name: "g3", Incarnation: "i", PeerAddress: "g3"},
			Seeds:   []string{"c5"},
		})
		time.Sleep(maxCatchUpTime)
		if active := restarted.Active(); active == nil || active.Version() != 2 || restarted.Status().Cluster != "c" {
			t.Errorf("the restarted gateway decides by %v, want version 2", active)
		}
		if restarted.Valid() {
			t.Error("the restarted gateway has a lease that no primary has granted")
		}
		stop()
		_ = left.network.Close()
		stale.close()
	})
}

// TestGatewayThatReachesOtherRegionIsNotPartitioned guards against a gateway that sends
// clients to all regions, whatever their homes are, as long as there is no primary.
func TestGatewayThatReachesOtherRegionIsNotPartitioned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stale := newStaleGateway(t)
		time.Sleep(maxCatchUpTime)
		if stale.gateway.Valid() || stale.gateway.Partitioned() {
			t.Error("the gateway takes itself for partitioned although it reaches another region")
		}
		stale.memory.Partition("g", "g2")
		time.Sleep(maxCatchUpTime)
		if !stale.gateway.Partitioned() {
			t.Error("the gateway does not take itself for partitioned although it reaches nobody")
		}
		stale.close()
	})
}

// TestAdoptStateChecksTransfer checks that a transfer which does not lead to the named
// state changes nothing, and that each form of a valid one leads to it.
func TestAdoptStateChecksTransfer(t *testing.T) {
	table := newTable(t)
	base := table.TransferSince(0)
	from := table.Serial()
	addVersion(table, 1)
	addVersion(table, 2)
	serial := table.Serial()
	full, difference := table.TransferSince(0), table.TransferSince(from)
	gap := registry.Transfer{From: from + 1, To: serial, Added: difference.Added}
	cases := []struct {
		name   string
		reply  peer.FetchStateReply
		result FetchResult
		active uint32
	}{
		{"full", peer.FetchStateReply{Cluster: "c", ActiveSerial: serial, Transfer: &full}, FetchActivated, serial},
		{"difference", peer.FetchStateReply{Cluster: "c", ActiveSerial: serial, Transfer: &difference}, FetchActivated, serial},
		{"difference from another serial", peer.FetchStateReply{Cluster: "c", ActiveSerial: serial, Transfer: &gap}, FetchFailed, from},
		{"transfer to another serial", peer.FetchStateReply{Cluster: "c", ActiveSerial: serial + 1, Transfer: &full}, FetchFailed, from},
		{"no transfer", peer.FetchStateReply{Cluster: "c", ActiveSerial: serial}, FetchDeferred, from},
		{"not newer", peer.FetchStateReply{Cluster: "c", ActiveSerial: from, Transfer: &base}, FetchUnneeded, from},
		{"not compressed", peer.FetchStateReply{Cluster: "c", ActiveSerial: serial, Packed: peer.PackedTransfer("x")}, FetchFailed, from},
		{"other cluster than asked for", peer.FetchStateReply{Cluster: "d", ActiveSerial: serial, Transfer: &full}, FetchFailed, from},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := newFollower(t, base)
			result, err := a.adoptState("c", &c.reply)
			if result != c.result || (err != nil) != (result == FetchFailed) {
				t.Errorf("result %q and error %v, want %q", result, err, c.result)
			}
			if active := a.activeSerial(); active != c.active || a.receivedSerialLocked() < c.active {
				t.Errorf("active serial %d and received serial %d, want %d", active, a.receivedSerialLocked(), c.active)
			}
		})
	}
}

// TestAdoptStateKeepsNewerReceivedState checks that a state from another gateway does not
// replace a newer one that a primary has sent and not approved yet.
func TestAdoptStateKeepsNewerReceivedState(t *testing.T) {
	table := newTable(t)
	a := newFollower(t, table.TransferSince(0))
	addVersion(table, 1)
	approved := table.TransferSince(0)
	addVersion(table, 2)
	if _, err := a.applyTransfer(table.TransferSince(a.activeSerial())); err != nil {
		t.Fatal(err)
	}
	result, err := a.adoptState("c", &peer.FetchStateReply{Cluster: "c", ActiveSerial: approved.To, Transfer: &approved})
	if err != nil || result != FetchActivated || a.Active().Version() != 1 {
		t.Fatalf("result %q, error %v, version %d; want version 1 activated", result, err, a.Active().Version())
	}
	if a.receivedSerialLocked() != table.Serial() {
		t.Errorf("received serial %d, want %d", a.receivedSerialLocked(), table.Serial())
	}
	if !a.activate(table.Serial()) || a.Active().Version() != 2 {
		t.Errorf("version %d is active after the approval of version 2", a.Active().Version())
	}
}

// TestFetchesAreLimited checks that a gateway bounds the rate of the transfers that it
// sends to other gateways.
func TestFetchesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newFollower(t, newTable(t).TransferSince(0))
		encoded, err := cbor.Marshal(peer.FetchState{Cluster: "c"})
		if err != nil {
			t.Fatal(err)
		}
		decode := func(request any) error { return cbor.Unmarshal(encoded, request) }
		sent := 0
		for range 10 * fetchBurst {
			answer, err := a.serveFetchState(t.Context(), "g2", decode)
			if reply, typed := answer.(*peer.FetchStateReply); err != nil || !typed {
				t.Fatalf("answer %v, error %v", answer, err)
			} else if reply.Transfer != nil {
				sent++
			}
		}
		if sent != fetchBurst {
			t.Errorf("%d transfers at once, want %d", sent, fetchBurst)
		}
	})
}

// newFollower returns an agent of the cluster c at which the state of a full transfer is
// active.
func newFollower(t *testing.T, base registry.Transfer) *Agent {
	t.Helper()
	a := New(Options{
		Network: transport.NewMemory().Node("g", "g"),
		Gateway: peer.GatewayInfo{Name: "g"},
		Clock:   func() time.Duration { return 0 },
		Logger:  slog.New(slog.DiscardHandler),
	})
	if err := a.holder.Observe(1, "c"); err != nil {
		t.Fatal(err)
	}
	if _, err := a.applyTransfer(base); err != nil {
		t.Fatal(err)
	}
	if !a.activate(base.To) {
		t.Fatal("the first state was not activated")
	}
	return a
}
