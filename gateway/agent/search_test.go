package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/transport"
)

// maxSearchTime is the maximum time until a gateway has a lease again after it has got a
// path to a process that knows the control nodes.
const maxSearchTime = 4 * time.Second

// serveHello makes a fake control node answer Hello as the leader of a cluster, or as a
// follower of a leader that is gone.
func (c *fakeControlNode) serveHello(identity consensus.ID, cluster string, leads bool, members ...string) {
	reply := peer.HelloReply{Identity: identity, Cluster: cluster, Leader: "gone"}
	if leads {
		reply.Leader = reply.Identity
	}
	for _, address := range members {
		reply.Members = append(reply.Members, consensus.Member{Address: address})
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.hello = &reply
}

// replacedCore is a gateway with an active state whose control nodes have all been replaced.
type replacedCore struct {
	t       *testing.T
	memory  *transport.Memory
	gateway *Agent
	stop    func()
	primary *fakeControlNode // of the new control nodes
	table   *registry.Table
}

// newReplacedCore starts a gateway with the seed and member c1, which is replaced by c2
// and c3; c3 becomes the primary. The registry lists the gateway g2.
func newReplacedCore(t *testing.T) *replacedCore {
	t.Helper()
	core := &replacedCore{t: t, memory: transport.NewMemory(), table: newTable(t)}
	record := catalog.GatewayRecord("g2", catalog.Gateway{PeerAddress: "g2", Region: "south", Incarnation: "i", Up: true})
	update := registry.NewUpdate(catalog.Apex, nil, []registry.Record{registry.Add(record)})
	core.table.Apply(&update, nil)
	first := newFakeControlNode(t, core.memory, "c1")
	first.table = core.table
	first.setGrant(core.grant(1, "c1"))
	core.gateway, core.stop = startAgent(t, core.memory.Node("g", "g"), Options{
		Gateway: peer.GatewayInfo{Name: "g", Region: "north", Incarnation: "i", PeerAddress: "g"},
		Seeds:   []string{"c1"},
	})
	time.Sleep(time.Second)
	if !core.gateway.Valid() {
		t.Fatal("the gateway got no lease from the first control node")
	}
	core.memory.Partition("g", "c1")
	_ = first.network.Close()
	core.primary = newFakeControlNode(t, core.memory, "c3")
	core.primary.serveHello("c3", "c", true, "c2", "c3")
	core.primary.table = core.table
	core.primary.setGrant(core.grant(2, "c2", "c3"))
	time.Sleep(10 * time.Second)
	if core.gateway.Valid() {
		t.Fatal("the lease is valid although the control node is gone")
	}
	return core
}

func (core *replacedCore) grant(term uint64, members ...string) peer.Grant {
	return peer.Grant{QuorumConfirmed: true, Cluster: "c", Term: term, LeaseMS: 1800, ActivationSerial: core.table.Serial(), ControlAddresses: members}
}

// expectLease checks that the gateway gets a lease of the new primary in time.
func (core *replacedCore) expectLease() {
	core.t.Helper()
	time.Sleep(maxSearchTime)
	if !core.gateway.Valid() || core.gateway.Status().Term != 2 {
		core.t.Errorf("the gateway has no lease of the new primary %v after it could have found it", maxSearchTime)
	}
}

func (core *replacedCore) close() {
	core.stop()
	_ = core.primary.network.Close()
}

// TestFindsReplacedCoreThroughGateway guards against a gateway that asks only the control
// nodes it knew and never finds a core that was replaced while it was partitioned.
func TestFindsReplacedCoreThroughGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := newReplacedCore(t)
		_, stopOther := startAgent(t, core.memory.Node("g2", "g2"), Options{
			Gateway: peer.GatewayInfo{Name: "g2", Incarnation: "i", PeerAddress: "g2"},
			Seeds:   []string{"c3"},
		})
		core.expectLease()
		stopOther()
		core.close()
	})
}

// TestFindsReplacedCoreThroughSeeds guards against a gateway that keeps the seeds of its
// start although its settings name new ones.
func TestFindsReplacedCoreThroughSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := newReplacedCore(t)
		core.gateway.SetSeeds([]string{"c3"})
		core.expectLease()
		core.close()
	})
}

// TestFindsReplacedCoreThroughFormerMember guards against a gateway that forgets a control
// node as soon as another one no longer lists it.
func TestFindsReplacedCoreThroughFormerMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := newReplacedCore(t)
		former := newFakeControlNode(t, core.memory, "c0")
		former.serveHello("c0", "c", false, "c2", "c3")
		core.gateway.mutex.Lock()
		core.gateway.controlNodes.setMembers([]string{"c0", "c1"})
		core.gateway.controlNodes.setMembers([]string{"c1"})
		core.gateway.mutex.Unlock()
		core.expectLease()
		_ = former.network.Close()
		core.close()
	})
}

// TestIgnoresOtherCluster guards against a gateway that follows another cluster, whose nodes
// have the addresses of the control nodes that it knew.
func TestIgnoresOtherCluster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := newReplacedCore(t)
		foreign := newFakeControlNode(t, core.memory, "c9")
		foreign.serveHello("c9", "other", true, "c9")
		grant := core.grant(7, "c9")
		grant.Cluster = "other"
		foreign.setGrant(grant)
		core.gateway.SetSeeds([]string{"c9"})
		time.Sleep(maxSearchTime)
		if status := core.gateway.Status(); core.gateway.Valid() || status.Cluster != "c" || status.Term > 2 {
			t.Errorf("the gateway follows cluster %q in term %d", status.Cluster, status.Term)
		}
		core.gateway.mutex.Lock()
		members := core.gateway.controlNodes.members
		core.gateway.mutex.Unlock()
		if len(members) != 1 || members[0] != "c1" {
			t.Errorf("the members are %v, want those that the gateway's own cluster reported", members)
		}
		_ = foreign.network.Close()
		core.close()
	})
}

// TestGatewaySampleCoversAll checks that the rounds of a search ask every other gateway.
func TestGatewaySampleCoversAll(t *testing.T) {
	const gateways = 100
	memory := transport.NewMemory()
	a := New(Options{Network: memory.Node("g", "g"), Gateway: peer.GatewayInfo{Name: "g"}, Clock: func() time.Duration { return 0 }})
	table := newTable(t)
	var records []registry.Record
	for i := range gateways {
		name := "g" + string(rune('a'+i/10)) + string(rune('a'+i%10))
		records = append(records, registry.Add(catalog.GatewayRecord(name, catalog.Gateway{PeerAddress: name})))
	}
	update := registry.NewUpdate(catalog.Apex, nil, records)
	table.Apply(&update, nil)
	if _, err := a.applyTransfer(table.TransferSince(0)); err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	for round := range uint64(gateways/gatewaysPerRound + 1) {
		for _, address := range a.gatewaySample(round) {
			seen[address] = true
		}
	}
	if len(seen) != gateways {
		t.Errorf("the rounds asked %d of %d gateways", len(seen), gateways)
	}
}
