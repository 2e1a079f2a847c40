package control

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/storage"
)

// isolatedNode is the name of the node that misses the replacement of all others.
const isolatedNode = "control-3"

// replaceOthers partitions isolatedNode and replaces both other nodes, and the voter that
// replaced isolatedNode, by nodes with new names. It then heals the partition.
func (f *fleet) replaceOthers() {
	f.t.Helper()
	address := f.options[isolatedNode].PeerAddress
	others := []string{"control-1", "control-2", "control-4", "control-5", "control-6", "gateway-1"}
	for i := range others {
		others[i] += ":1"
	}
	f.partition(address, others...)
	f.replace(isolatedNode, "control-4", "control-1")
	f.replace("control-1", "control-5", "control-4")
	f.replace("control-2", "control-6", "control-5")
	f.heal(address, others...)
}

// replace stops a node, unless it is isolatedNode, starts a new one in its zone with a
// seed, and waits until the new one is a voter.
func (f *fleet) replace(old, name, seed string) {
	f.t.Helper()
	if old != isolatedNode {
		f.stop(old)
	}
	options := f.options[old]
	options.Name, options.PeerAddress, options.OperatorAddress = name, name+":1", name+":2"
	options.InitialControl, options.Seeds = nil, []string{seed + ":1"}
	f.options[name] = options
	f.disks[name] = storage.NewMemory(consensus.ID("disk-" + name))
	f.start(name)
	f.await(name+" to be a voter", func() bool {
		observed := f.nodes[name].engine.Observe()
		return observed.Voter() && observed.LeaderAddress() != "" && f.members(f.primary(isolatedNode)).RepairDone
	})
}

// startIsolatedFleet starts three nodes, a gateway that knows the present members, and
// submits a configuration.
func (f *fleet) startIsolatedFleet() {
	f.t.Helper()
	f.start(controlNames...)
	f.startKnowingGateway("gateway-1")
	f.mustSend(f.primary(), "order-1", 0)
	f.await("the gateway's record at the node", func() bool {
		catalog := f.nodes[isolatedNode].engine.Observe().Catalog
		return catalog != nil && len(catalog.Gateways()) == 1
	})
}

// startKnowingGateway starts a gateway that answers Hello with the members that are running.
func (f *fleet) startKnowingGateway(name string) {
	f.t.Helper()
	gateway := f.startGateway(name)
	gateway.serveHello(func() peer.HelloReply {
		reply := peer.HelloReply{Cluster: f.nodes[isolatedNode].engine.Observe().Cluster}
		for node := range f.nodes {
			if node != isolatedNode {
				reply.Members = append(reply.Members, consensus.Member{Address: f.options[node].PeerAddress})
			}
		}
		return reply
	})
}

// expectOrderThroughIsolatedNode checks that the node soon forwards orders to the primary.
func (f *fleet) expectOrderThroughIsolatedNode() {
	f.t.Helper()
	const maxTime = 5 * time.Second
	time.Sleep(maxTime)
	status, answer := f.send(f.nodes[isolatedNode], "order-2", 1, document(f.t))
	if status != http.StatusOK || !answer.Accepted {
		f.t.Errorf("an order %v after the partition returned status %d and %+v, want it accepted", maxTime, status, answer)
	}
}

// TestNodeFindsReplacedGroupThroughGateways guards against a control node that asks only
// the nodes it knew and never finds a group whose members were all replaced while it was
// partitioned.
func TestNodeFindsReplacedGroupThroughGateways(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.startIsolatedFleet()
		f.replaceOthers()
		f.expectOrderThroughIsolatedNode()
	})
}

// TestNodeFindsReplacedGroupThroughSeeds guards against a control node that keeps the seeds
// of its start although its settings name new ones.
func TestNodeFindsReplacedGroupThroughSeeds(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.startIsolatedFleet()
		f.gateways["gateway-1"].serveHello(func() peer.HelloReply { return peer.HelloReply{} })
		f.replaceOthers()
		f.nodes[isolatedNode].SetSeeds([]string{"control-6:1"})
		f.expectOrderThroughIsolatedNode()
	})
}

// TestNodeFindsReplacedGroupThroughFormerContact guards against a control node that learns
// no more addresses once it has learned of many.
func TestNodeFindsReplacedGroupThroughFormerContact(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.startIsolatedFleet()
		f.gateways["gateway-1"].serveHello(func() peer.HelloReply { return peer.HelloReply{} })
		contacts := f.nodes[isolatedNode].contacts
		for i := range 100 {
			contacts.AddMembers(f.t.Context(), []consensus.Member{{Address: fmt.Sprintf("former-%d:1", i)}})
		}
		contacts.AddMembers(f.t.Context(), []consensus.Member{{Address: "control-6:1"}})
		f.replaceOthers()
		f.expectOrderThroughIsolatedNode()
	})
}

// TestPrimaryRemindsGatewayThatMissedTheReplacement guards against a gateway that never hears
// of a group whose members were all replaced while it was partitioned, if nobody that it knew
// is left: the primary notified only gateways that were up or had renewed with it.
func TestPrimaryRemindsGatewayThatMissedTheReplacement(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.start(controlNames...)
		gateway := f.startGateway("gateway-1")
		f.mustSend(f.primary(), "order-1", 0)
		f.await("a lease", gateway.valid)
		others := []string{"control-1:1", "control-2:1", "control-3:1", "control-4:1", "control-5:1", "control-6:1"}
		f.partition(gateway.address, others...)
		for number, lost := range []string{"control-1", "control-2", "control-3"} {
			name := fmt.Sprint("control-", number+4)
			f.lose(lost)
			f.startSuccessor(lost, name)
			f.nodes[name].SetSeeds([]string{"control-4:1", "control-5:1", "control-6:1", "control-3:1"})
			f.expectVoterInTime(name, lost)
		}
		f.heal(gateway.address, others...)
		const maxTime = 5 * time.Second
		time.Sleep(maxTime)
		gateway.mutex.Lock()
		defer gateway.mutex.Unlock()
		if want := f.primary().options.PeerAddress; gateway.notifiedBy != want {
			t.Errorf("%v after the partition, the gateway was last notified by %q, want the primary %q", maxTime, gateway.notifiedBy, want)
		}
	})
}

// serveHello sets the answer of a gateway to Hello.
func (g *testGateway) serveHello(reply func() peer.HelloReply) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.hello = reply
}

// answerHello handles peer.KindHello.
func (g *testGateway) answerHello(context.Context, string, func(any) error) (any, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.hello == nil {
		return &peer.HelloReply{}, nil
	}
	reply := g.hello()
	return &reply, nil
}
