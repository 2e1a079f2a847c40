package control

import (
	"context"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

// TestNodeWithoutGroupAsksGateways guards against a control node with an empty disk and
// without a path to its group that leaves clients without an answer, although the gateways
// that look for a primary have asked it.
func TestNodeWithoutGroupAsksGateways(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.start("control-3")
		outside := f.nodes["control-3"]
		gateway := f.network.Node("gateway-9", "gateway-9:1")
		gateway.Handle(peer.KindWhere, func(context.Context, string, func(any) error) (any, error) {
			return &peer.WhereReply{Addresses: []string{"gateway-9:80"}}, nil
		})
		if err := gateway.Start(); err != nil {
			t.Fatal(err)
		}
		defer gateway.Close()
		if addresses := outside.Where("north", 8); len(addresses) != 0 {
			t.Fatalf("a node that knows nobody returned %v", addresses)
		}
		hello := peer.Hello{Name: "gateway-9", PeerAddress: "gateway-9:1"}
		var reply peer.HelloReply
		if err := gateway.Call(f.t.Context(), f.options["control-3"].PeerAddress, peer.KindHello, &hello, &reply); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if addresses := outside.Where("north", 8); len(addresses) != 1 || addresses[0] != "gateway-9:80" {
			t.Errorf("a node that a gateway has asked returned %v, want the gateway's answer", addresses)
		}
	})
}

// TestLookupsStayInRegionWithoutLeader guards against a directory that sends clients to all
// regions, whatever their homes are, as long as the group has no leader.
func TestLookupsStayInRegionWithoutLeader(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.start(controlNames...)
		f.startGateway("gateway-1")
		f.startGateway("gateway-2")
		left := f.nodes["control-2"]
		f.await("both gateways in the registry", func() bool {
			catalog := left.engine.Observe().Catalog
			return catalog != nil && len(catalog.Gateways()) == 2 && len(left.Where("region-1", 8)) > 0
		})
		f.stop("control-1")
		f.stop("control-3")
		time.Sleep(3 * time.Second)
		if !left.contacts.ReachesOtherRegion() {
			t.Error("the node reaches no other region although it reaches two gateways there")
		}
		for _, name := range []string{"gateway-1", "gateway-2"} {
			f.partition(left.options.PeerAddress, name+":1")
		}
		time.Sleep(5 * time.Second)
		if left.contacts.ReachesOtherRegion() {
			t.Error("the node reaches another region although it is partitioned from all gateways")
		}
	})
}
