package control

import (
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
)

// A gateway that the new primary does not hear of may go on under its lease: the
// primary waits that out.
func TestNewPrimaryWaitsOutOlderLeases(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.start(controlNames...)
		gateway := f.startGateway("gateway-1")
		lost := f.startGateway("gateway-2")
		f.mustSend(f.primary(), "order-1", 0)
		f.await("a lease", gateway.valid)
		f.await("the other lease", lost.valid)
		f.cut(lost.address, lost.control...)
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

// Once every gateway that may have a lease has told a new primary what it has
// active, there is nothing to wait out.
func TestNewPrimaryWaitsForNobodyWhoIsAccountedFor(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
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
	inFleet(t, func(t *testing.T, f *fleet) {
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
	inFleet(t, func(t *testing.T, f *fleet) {
		f.start(controlNames...)
		f.mustSend(f.primary(), "order-1", 0)
		primary := f.primary()
		asking := f.network.Node("gateway-9", "gateway-9:1")
		if err := asking.Start(); err != nil {
			t.Fatal(err)
		}
		defer asking.Close()
		given := func(node *Node, renew peer.Renew) bool {
			var grant peer.Grant
			renew.Gateway = peer.GatewayInfo{Name: "gateway-9", Incarnation: "1", Region: "region-1", PeerAddress: "gateway-9:1"}
			if err := asking.Call(t.Context(), node.options.PeerAddress, peer.KindRenew, &renew, &grant); err != nil {
				t.Fatal(err)
			}
			if grant.Granted || grant.LeaseMS != 0 || grant.ActivationSerial != 0 || grant.Primary != primary.options.PeerAddress {
				t.Errorf("%s answers %+v", node.options.Name, grant)
			}
			transfer, err := grant.UnpackTransfer()
			if err != nil {
				t.Fatal(err)
			}
			return transfer != nil
		}
		f.await("the other nodes to have the order", func() bool {
			for _, name := range controlNames {
				if f.nodes[name].observe().contents.Version() == 0 {
					return false
				}
			}
			return true
		})
		for _, name := range controlNames {
			node := f.nodes[name]
			if node == primary {
				continue
			}
			if !given(node, peer.Renew{}) {
				t.Errorf("%s gives no table", name)
			}
			if given(node, peer.Renew{ReceivedSerial: 1}) || given(node, peer.Renew{Cluster: "another"}) {
				t.Errorf("%s gives a table to one that holds one, or of another group", name)
			}
		}
	})
}

func TestCutOffGatewayDelaysAnAcknowledgementOnce(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.start(controlNames...)
		gateway := f.startGateway("gateway-1")
		f.startGateway("gateway-2")
		f.mustSend(f.primary(), "order-1", 0)
		f.await("a lease", gateway.valid)
		f.cut(gateway.address, gateway.control...)
		f.mustSend(f.primary(), "order-2", 1)
		if gateway.valid() {
			t.Error("acknowledged while a gateway with the older version may place requests")
		}
		started := time.Now()
		f.mustSend(f.primary(), "order-3", 2)
		if took := time.Since(started); took > time.Second {
			t.Errorf("the second order waited %v for a gateway without a lease", took)
		}
		f.heal(gateway.address, gateway.control...)
		f.await("the gateway to catch up", gateway.valid)
	})
}

func TestThawedPrimaryGrantsNothing(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.start(controlNames...)
		f.startGateway("gateway-1")
		f.mustSend(f.primary(), "order-1", 0)
		old := f.primary()
		term := old.observe().status.Term
		// A gateway that knows the old primary alone, and waits for its answer.
		lonely := f.startGatewayOf("gateway-2", time.Minute, old.options.Name)
		f.await("a lease", lonely.valid)
		f.freeze(old, 25*time.Second)
		time.Sleep(10 * time.Second)
		before := lonely.leases(term)
		f.mustSend(f.primary(old.options.Name), "order-2", 1)
		time.Sleep(20 * time.Second) // past the thaw
		if after := lonely.leases(term); after != before {
			t.Errorf("the thawed primary granted %d leases", after-before)
		}
		f.await("the thawed node to follow", func() bool {
			o := old.observe()
			return o.status.Role == consensus.Follower && o.contents.Version() == 2
		})
	})
}

// TestAQuietGatewayIsNotNamed: whoever misses several renewals is marked down long
// before its lease has run out, which is waited for all the same.
func TestAQuietGatewayIsNotNamed(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.start(controlNames...)
		quiet := f.startGateway("gateway-1")
		f.startGateway("gateway-2")
		f.mustSend(f.primary(), "order-1", 0)
		f.await("a lease", quiet.valid)
		record := func() catalog.Gateway { return f.primary().observe().contents.Gateways()["gateway-1"] }

		f.cut(quiet.address, quiet.control...)
		cut := time.Now()
		f.await("the record to say down", func() bool { return !record().Up })
		renewal := lease.DefaultConfig().RenewalInterval
		if took := time.Since(cut); took < (quietRenewals-1)*renewal || took > (quietRenewals+2)*renewal {
			t.Errorf("marked down after %v, want about %v", took, quietRenewals*renewal)
		}
		if !record().MayHoldLease {
			t.Error("the record says that it holds no lease while it may")
		}
		f.mustSend(f.primary(), "order-2", 1)
		if quiet.valid() {
			t.Error("acknowledged while a gateway with the older version may place requests")
		}
		f.await("the record to say that the lease has ended", func() bool { return !record().MayHoldLease })
		f.heal(quiet.address, quiet.control...)
		f.await("the gateway to be up again", func() bool { return record().Up && record().MayHoldLease && quiet.valid() })
	})
}

// TestANewPrimaryForgetsGatewaysThatWentWithTheOld: their leases have ended with
// the window that it waits for; a second lease's length is not waited for.
func TestANewPrimaryForgetsGatewaysThatWentWithTheOld(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.start(controlNames...)
		lost := f.startGateway("gateway-1")
		f.startGateway("gateway-2")
		f.mustSend(f.primary(), "order-1", 0)
		f.await("a lease", lost.valid)
		old := f.primary()
		f.stopGateway("gateway-1")
		f.cut(old.options.PeerAddress, controlAddressesBut(f, old)...)
		successor := f.primary(old.options.Name)
		elected := time.Now()
		record := func() catalog.Gateway { return successor.observe().contents.Gateways()["gateway-1"] }

		f.await("the record to say down", func() bool { return !record().Up })
		if took := time.Since(elected); took > (quietRenewals+2)*lease.DefaultConfig().RenewalInterval {
			t.Errorf("still named %v after the election", took)
		}
		f.await("the record to say that the lease has ended", func() bool { return !record().MayHoldLease })
		longest := lease.DefaultConfig().GracePeriod() + defaultGatewayGrace + time.Second
		if took := time.Since(elected); took > longest {
			t.Errorf("a lease of the old primary was waited for during %v", took)
		}
	})
}
