package control

import (
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/control/leases"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/transport"
)

// A gateway that the new primary does not hear of may go on under its lease: the
// primary waits that out.
func TestNewPrimaryWaitsOutOlderLeases(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		gateway := f.startGateway("gateway-1")
		lost := f.startGateway("gateway-2")
		f.mustSend(f.primary(), "order-1", 0)
		f.await("a lease", gateway.valid)
		f.await("the other lease", lost.valid)
		f.partition(lost.address, lost.control...)
		waited := f.timeToInForce()
		// The time of the election is read up to one poll after it.
		if window := lease.DefaultConfig().GracePeriod(); waited < window-50*time.Millisecond {
			t.Errorf("in force is known %v after the election, the leases of an earlier primary may last %v", waited, window)
		}
		if !gateway.valid() {
			t.Error("the gateway lost its lease over an election")
		}
	})
}

// Once every gateway that may have a lease has reported to a new primary what it has
// active, there is nothing to wait out.
func TestNewPrimaryWaitsForNoGatewayThatReported(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		first, second := f.startGateway("gateway-1"), f.startGateway("gateway-2")
		f.mustSend(f.primary(), "order-1", 0)
		f.await("a lease", first.valid)
		f.await("the other lease", second.valid)
		if waited, window := f.timeToInForce(), lease.DefaultConfig().GracePeriod(); waited > window/2 {
			t.Errorf("in force is known only %v after the election", waited)
		}
	})
}

// A gateway that ends without leaving and starts again has no lease any more.
func TestNewPrimaryKnowsThatARestartEndsALease(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		gateway := f.startGateway("gateway-1")
		f.mustSend(f.primary(), "order-1", 0)
		f.await("a lease", gateway.valid)
		f.stopGateway("gateway-1")
		f.startGateway("gateway-1")
		if waited, window := f.timeToInForce(), lease.DefaultConfig().GracePeriod(); waited > window/2 {
			t.Errorf("in force is known only %v after the election", waited)
		}
	})
}

// A control node that is not the primary gives its table to a gateway that holds none,
// and never a lease or the right to make it active.
func TestOtherControlNodesGiveTheTable(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.mustSend(f.primary(), "order-1", 0)
		primary := f.primary()
		network := f.network.Node("gateway-9", "gateway-9:1")
		if err := network.Start(); err != nil {
			t.Fatal(err)
		}
		defer network.Close()
		f.await("the other nodes to apply the operation", func() bool {
			return f.everyNode(func(node *Node) bool { return node.engine.Observe().Catalog.Version() != 0 })
		})
		for name, node := range f.nodes {
			if node == primary {
				continue
			}
			if !f.givesTable(network, primary, node, peer.Renew{}) {
				t.Errorf("%s gives no table", name)
			}
			if f.givesTable(network, primary, node, peer.Renew{ReceivedSerial: 1}) || f.givesTable(network, primary, node, peer.Renew{Cluster: "another"}) {
				t.Errorf("%s gives a table to one that has one, or of another group", name)
			}
		}
	})
}

func (f *fleet) everyNode(condition func(*Node) bool) bool {
	for _, node := range f.nodes {
		if !condition(node) {
			return false
		}
	}
	return true
}

// givesTable renews at a node that is not the primary, and says whether it answers
// with the table. It must give no lease.
func (f *fleet) givesTable(network transport.Network, primary, node *Node, renew peer.Renew) bool {
	f.t.Helper()
	var grant peer.Grant
	renew.Gateway = peer.GatewayInfo{Name: "gateway-9", Incarnation: "1", Region: "region-1", PeerAddress: "gateway-9:1"}
	if err := network.Call(f.t.Context(), node.options.PeerAddress, peer.KindRenew, &renew, &grant); err != nil {
		f.t.Fatal(err)
	}
	if grant.Granted || grant.LeaseMS != 0 || grant.ActivationSerial != 0 || grant.Primary != primary.options.PeerAddress {
		f.t.Errorf("%s answers %+v", node.options.Name, grant)
	}
	transfer, err := grant.UnpackTransfer()
	if err != nil {
		f.t.Fatal(err)
	}
	return transfer != nil
}

func TestPartitionedGatewayDelaysAnAcknowledgementOnce(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		gateway := f.startGateway("gateway-1")
		f.startGateway("gateway-2")
		f.mustSend(f.primary(), "order-1", 0)
		f.await("a lease", gateway.valid)
		f.partition(gateway.address, gateway.control...)
		f.mustSend(f.primary(), "order-2", 1)
		if gateway.valid() {
			t.Error("acknowledged while a gateway with the older version may place requests")
		}
		started := time.Now()
		f.mustSend(f.primary(), "order-3", 2)
		if took := time.Since(started); took > time.Second {
			t.Errorf("the second operation waited %v for a gateway without a lease", took)
		}
		f.heal(gateway.address, gateway.control...)
		f.await("the gateway to catch up", gateway.valid)
	})
}

func TestThawedPrimaryGrantsNothing(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		f.mustSend(f.primary(), "order-1", 0)
		old := f.primary()
		term := old.engine.Observe().Status.Term
		// A gateway that knows the old primary alone, and waits for its answer.
		isolated := f.startGatewayOf("gateway-2", time.Minute, old.options.Name)
		f.await("a lease", isolated.valid)
		f.freeze(old, 25*time.Second)
		time.Sleep(10 * time.Second)
		before := isolated.leases(term)
		f.mustSend(f.primary(old.options.Name), "order-2", 1)
		time.Sleep(20 * time.Second) // past the thaw
		if after := isolated.leases(term); after != before {
			t.Errorf("the thawed primary granted %d leases", after-before)
		}
		f.await("the thawed node to follow", func() bool {
			o := old.engine.Observe()
			return o.Status.Role == consensus.Follower && o.Catalog.Version() == 2
		})
	})
}

// TestAQuietGatewayIsNotNamed: whoever misses several renewals is marked down long
// before its lease has run out, which is waited for all the same.
func TestAQuietGatewayIsNotNamed(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		silent := f.startGateway("gateway-1")
		f.startGateway("gateway-2")
		f.mustSend(f.primary(), "order-1", 0)
		f.await("a lease", silent.valid)
		record := func() catalog.Gateway { return f.primary().engine.Observe().Catalog.Gateways()["gateway-1"] }

		f.partition(silent.address, silent.control...)
		partitionedAt := time.Now()
		f.await("the record to say down", func() bool { return !record().Up })
		renewal := lease.DefaultConfig().RenewalInterval
		if took := time.Since(partitionedAt); took < (leases.MissedRenewals-1)*renewal || took > (leases.MissedRenewals+2)*renewal {
			t.Errorf("marked down after %v, want about %v", took, leases.MissedRenewals*renewal)
		}
		if !record().MayHoldLease {
			t.Error("the record says that it has no lease while it may")
		}
		f.mustSend(f.primary(), "order-2", 1)
		if silent.valid() {
			t.Error("acknowledged while a gateway with the older version may place requests")
		}
		f.await("the record to say that the lease has ended", func() bool { return !record().MayHoldLease })
		f.heal(silent.address, silent.control...)
		f.await("the gateway to be up again", func() bool { return record().Up && record().MayHoldLease && silent.valid() })
	})
}

// TestANewPrimaryForgetsGatewaysThatWentWithTheOld: their leases have ended with
// the window that it waits for; a second lease's length is not waited for.
func TestANewPrimaryForgetsGatewaysThatWentWithTheOld(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		lost := f.startGateway("gateway-1")
		f.startGateway("gateway-2")
		f.mustSend(f.primary(), "order-1", 0)
		f.await("a lease", lost.valid)
		old := f.primary()
		f.stopGateway("gateway-1")
		f.partition(old.options.PeerAddress, controlAddressesBut(f, old)...)
		successor := f.primary(old.options.Name)
		elected := time.Now()
		record := func() catalog.Gateway { return successor.engine.Observe().Catalog.Gateways()["gateway-1"] }

		f.await("the record to say down", func() bool { return !record().Up })
		if took := time.Since(elected); took > (leases.MissedRenewals+2)*lease.DefaultConfig().RenewalInterval {
			t.Errorf("still named %v after the election", took)
		}
		f.await("the record to say that the lease has ended", func() bool { return !record().MayHoldLease })
		longest := lease.DefaultConfig().GracePeriod() + engine.DefaultGatewayGrace + time.Second
		if took := time.Since(elected); took > longest {
			t.Errorf("a lease of the old primary was waited for during %v", took)
		}
	})
}
