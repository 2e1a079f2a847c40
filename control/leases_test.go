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

// TestNewPrimaryWaitsOutOlderLeases checks that a new primary waits until the lease of a
// gateway that cannot contact it has expired: that gateway may still serve with an older
// configuration.
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
		// The measured election time is up to one polling interval late.
		if window := lease.DefaultConfig().GracePeriod(); waited < window-50*time.Millisecond {
			t.Errorf("the serial in force was known %v after the election, but leases of an earlier primary may last %v", waited, window)
		}
		if !gateway.valid() {
			t.Error("the gateway lost its lease because of an election")
		}
	})
}

// TestNewPrimaryDoesNotWaitForGatewaysThatReported checks that a new primary does not
// wait for earlier leases to expire once every gateway that may hold one has reported
// its active serial.
func TestNewPrimaryDoesNotWaitForGatewaysThatReported(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		first, second := f.startGateway("gateway-1"), f.startGateway("gateway-2")
		f.mustSend(f.primary(), "order-1", 0)
		f.await("a lease", first.valid)
		f.await("the other lease", second.valid)
		if waited, window := f.timeToInForce(), lease.DefaultConfig().GracePeriod(); waited > window/2 {
			t.Errorf("the serial in force was known only %v after the election, want at most half of the grace period", waited)
		}
	})
}

// TestNewPrimaryDoesNotWaitForLeaseOfRestartedGateway checks that the lease of a gateway
// that stopped without releasing it counts as ended once the gateway has restarted.
func TestNewPrimaryDoesNotWaitForLeaseOfRestartedGateway(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		gateway := f.startGateway("gateway-1")
		f.mustSend(f.primary(), "order-1", 0)
		f.await("a lease", gateway.valid)
		f.stopGateway("gateway-1")
		f.startGateway("gateway-1")
		if waited, window := f.timeToInForce(), lease.DefaultConfig().GracePeriod(); waited > window/2 {
			t.Errorf("the serial in force was known only %v after the election, want at most half of the grace period", waited)
		}
	})
}

// TestNonPrimaryNodesSendTheFirstTable checks that a control node that is not the primary
// sends its table to a gateway that has none, but never grants a lease or permits the
// gateway to activate the table.
func TestNonPrimaryNodesSendTheFirstTable(t *testing.T) {
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
			if !f.sendsTable(network, primary, node, peer.Renew{}) {
				t.Errorf("%s sent no table to a gateway without one", name)
			}
			if f.sendsTable(network, primary, node, peer.Renew{ReceivedSerial: 1}) || f.sendsTable(network, primary, node, peer.Renew{Cluster: "another"}) {
				t.Errorf("%s sent a table to a gateway that has one or that belongs to another group", name)
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

// sendsTable sends a renewal to a node that is not the primary, and reports whether the
// reply contains the table. It fails the test if the reply grants a lease.
func (f *fleet) sendsTable(network transport.Network, primary, node *Node, renew peer.Renew) bool {
	f.t.Helper()
	var grant peer.Grant
	renew.Gateway = peer.GatewayInfo{Name: "gateway-9", Incarnation: "1", Region: "region-1", PeerAddress: "gateway-9:1"}
	if err := network.Call(f.t.Context(), node.options.PeerAddress, peer.KindRenew, &renew, &grant); err != nil {
		f.t.Fatal(err)
	}
	if grant.QuorumConfirmed || grant.LeaseMS != 0 || grant.ActivationSerial != 0 || grant.Primary != primary.options.PeerAddress {
		f.t.Errorf("%s, which is not the primary, replied %+v", node.options.Name, grant)
	}
	transfer, err := grant.UnpackTransfer()
	if err != nil {
		f.t.Fatal(err)
	}
	return transfer != nil
}

// TestPartitionedGatewayDelaysAnAcknowledgementOnce checks that an operation is
// acknowledged only after the lease of a partitioned gateway has expired, and that later
// operations do not wait for that gateway again.
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
			t.Error("the operation was acknowledged while a gateway with the older version still held a lease")
		}
		started := time.Now()
		f.mustSend(f.primary(), "order-3", 2)
		if took := time.Since(started); took > time.Second {
			t.Errorf("the second operation took %v although the partitioned gateway holds no lease", took)
		}
		f.heal(gateway.address, gateway.control...)
		f.await("the gateway to catch up", gateway.valid)
	})
}

// TestResumedPrimaryGrantsNoLeases checks that a primary that was frozen past the election
// of its successor grants none of the leases that were requested meanwhile.
func TestResumedPrimaryGrantsNoLeases(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		f.mustSend(f.primary(), "order-1", 0)
		old := f.primary()
		term := old.engine.Observe().Status.Term
		// This gateway knows only the old primary, and waits a minute for each reply.
		isolated := f.startGatewayWith("gateway-2", time.Minute, old.options.Name)
		f.await("a lease", isolated.valid)
		f.freeze(old, 25*time.Second)
		time.Sleep(10 * time.Second)
		before := isolated.leases(term)
		f.mustSend(f.primary(old.options.Name), "order-2", 1)
		time.Sleep(20 * time.Second) // the old primary has resumed by then
		if after := isolated.leases(term); after != before {
			t.Errorf("the resumed primary granted %d leases in its old term, want 0", after-before)
		}
		f.await("the resumed node to become a follower", func() bool {
			o := old.engine.Observe()
			return o.Status.Role == consensus.Follower && o.Catalog.Version() == 2
		})
	})
}

// TestGatewayThatMissesRenewalsIsMarkedDown checks that a gateway that misses several
// renewals is marked down long before its lease expires, and that an operation still
// waits for that lease to expire.
func TestGatewayThatMissesRenewalsIsMarkedDown(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		partitioned := f.startGateway("gateway-1")
		f.startGateway("gateway-2")
		f.mustSend(f.primary(), "order-1", 0)
		f.await("a lease", partitioned.valid)
		record := func() catalog.Gateway { return f.primary().engine.Observe().Catalog.Gateways()["gateway-1"] }

		f.partition(partitioned.address, partitioned.control...)
		partitionedAt := time.Now()
		f.await("the gateway to be marked down", func() bool { return !record().Up })
		renewal := lease.DefaultConfig().RenewalInterval
		if took := time.Since(partitionedAt); took < (leases.MissedRenewals-1)*renewal || took > (leases.MissedRenewals+2)*renewal {
			t.Errorf("marked down after %v, want about %v", took, leases.MissedRenewals*renewal)
		}
		if !record().MayHoldLease {
			t.Error("the record excludes a lease although the gateway may still hold one")
		}
		f.mustSend(f.primary(), "order-2", 1)
		if partitioned.valid() {
			t.Error("the operation was acknowledged while a gateway with the older version still held a lease")
		}
		f.await("the end of the lease to be recorded", func() bool { return !record().MayHoldLease })
		f.heal(partitioned.address, partitioned.control...)
		f.await("the gateway to be marked up again", func() bool { return record().Up && record().MayHoldLease && partitioned.valid() })
	})
}

// TestNewPrimaryExpiresGatewaysLostWithItsPredecessor checks that a gateway that fails
// together with the old primary is marked down soon, and that its lease counts as ended
// once the grace period of the new primary and the gateway grace have passed, with a
// tolerance of 1 s: the new primary must not wait for another lease duration.
func TestNewPrimaryExpiresGatewaysLostWithItsPredecessor(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		lost := f.startGateway("gateway-1")
		f.startGateway("gateway-2")
		f.mustSend(f.primary(), "order-1", 0)
		f.await("a lease", lost.valid)
		old := f.primary()
		f.stopGateway("gateway-1")
		f.partition(old.options.PeerAddress, otherControlAddresses(f, old)...)
		successor := f.primary(old.options.Name)
		elected := time.Now()
		record := func() catalog.Gateway { return successor.engine.Observe().Catalog.Gateways()["gateway-1"] }

		f.await("the gateway to be marked down", func() bool { return !record().Up })
		if took := time.Since(elected); took > (leases.MissedRenewals+2)*lease.DefaultConfig().RenewalInterval {
			t.Errorf("the lost gateway was marked down only %v after the election", took)
		}
		f.await("the end of the lease to be recorded", func() bool { return !record().MayHoldLease })
		longest := lease.DefaultConfig().GracePeriod() + engine.DefaultGatewayGrace + time.Second
		if took := time.Since(elected); took > longest {
			t.Errorf("the lease granted by the old primary counted as held for %v after the election, longer than the grace period, the gateway grace and 1 s", took)
		}
	})
}
