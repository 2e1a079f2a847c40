package engine

import (
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/storage"
)

// newPrimaryWithLease returns a primary without other members that has recorded one gateway
// and granted it a lease, the gateway's next renewal, and the current time.
func newPrimaryWithLease(t *testing.T) (*machine, renewals, time.Duration) {
	t.Helper()
	m := newSingleNode(t)
	now := time.Duration(0)
	m.advance(t, &now, 5*time.Second)
	gateways := newGateways(1, "1")
	for range 4 {
		gateways.renew(t, m, now)
		m.advance(t, &now, 50*time.Millisecond)
	}
	if leased := gateways.renew(t, m, now); leased != 1 {
		t.Fatalf("%d gateways have a lease, want 1", leased)
	}
	return m, gateways, now
}

// TestStaleRenewalChangesNoRecord checks that a renewal from a process that has ended
// changes no record. Renewals may be reordered and may arrive after their process has
// ended: a renewal is stale if its incarnation was replaced, or if its incarnation is not
// the recorded one and it does not know the current term.
func TestStaleRenewalChangesNoRecord(t *testing.T) {
	m, ended, now := newPrimaryWithLease(t)
	incarnation := func() string { return m.driver.Catalog().Gateways()["gateway-0"].Incarnation }

	unknown := newGateways(1, "0")
	unknown.renew(t, m, now) // without the term
	if got := incarnation(); got != "1" {
		t.Errorf("a renewal without the current term changed the recorded incarnation to %q, want 1", got)
	}
	restarted := newGateways(1, "2")
	restarted[0].Term = m.leadership.term
	restarted.renew(t, m, now)
	if got := incarnation(); got != "2" {
		t.Fatalf("the recorded incarnation is %q after the restart, want 2", got)
	}
	ended.renew(t, m, now) // late, but with the current term
	if got := incarnation(); got != "2" {
		t.Errorf("a renewal of the replaced process changed the recorded incarnation to %q, want 2", got)
	}
}

// TestNoLeaseWhileItsEndIsBeingRecorded checks that no lease is granted between the
// proposal of a record that excludes a lease and its application. The next primary would
// not know of such a lease.
func TestNoLeaseWhileItsEndIsBeingRecorded(t *testing.T) {
	m, gateways, now := newPrimaryWithLease(t)
	const check = 50 * time.Millisecond
	lease := m.config.Lease
	m.advance(t, &now, lease.Duration+lease.ClockDriftMargin+m.config.GatewayGrace-check)
	for until := now + check + 2*maintenanceInterval; now < until; now += DefaultTickInterval {
		m.tick(now)
		m.maintain(now) // proposes the record without applying it
	}
	if !m.driver.Catalog().Gateways()["gateway-0"].MayHoldLease {
		t.Fatal("the end of the lease is already recorded")
	}
	back := gateways[0]
	back.ReceivedSerial, back.ActiveSerial = m.table().Serial(), m.table().Serial()
	if grant := m.renew(now, back); !grant.QuorumConfirmed || grant.LeaseMS != 0 {
		t.Errorf("the renewal was answered with %+v while the end of the lease is being recorded, want QuorumConfirmed without a lease", grant)
	}
	if err := m.process(now); err != nil {
		t.Fatal(err)
	}
	if m.driver.Catalog().Gateways()["gateway-0"].MayHoldLease {
		t.Error("the end of the lease is not recorded")
	}
}

// TestGatewayAheadOfThePrimaryIsNotGranted checks that a primary refuses a gateway with a
// newer serial than its own: that serial belongs to a log that has diverged.
func TestGatewayAheadOfThePrimaryIsNotGranted(t *testing.T) {
	m, gateways, now := newPrimaryWithLease(t)
	ahead := gateways[0]
	ahead.ReceivedSerial = m.table().Serial() + 1
	if grant := m.renew(now, ahead); grant.QuorumConfirmed || grant.LeaseMS != 0 {
		t.Errorf("a gateway with a newer serial than the primary was answered with %+v, want a refusal", grant)
	}
}

// TestNewPrimaryWaitsForGatewaysOfOlderRecords checks that a new primary waits for the
// lease of a gateway whose record was written before MayHoldLease existed. In such a
// record, Up means that the gateway may hold a lease.
func TestNewPrimaryWaitsForGatewaysOfOlderRecords(t *testing.T) {
	store := storage.NewMemory("disk-1")
	m := newSingleNodeOn(t, store)
	now := time.Duration(0)
	m.advance(t, &now, 5*time.Second)
	older := catalog.Gateway{Incarnation: "1", Zone: "north-1", Region: "north", PeerAddress: "gateway-1:1", Up: true}
	update := m.ownUpdate(nil, []registry.Record{registry.Add(catalog.GatewayRecord("gateway-1", older))})
	m.propose(now, update, func(result registry.Result, err error) {
		if err != nil || result.Code != registry.NoError {
			t.Errorf("writing the older record failed with code %v, error %v", result.Code, err)
		}
	})
	if err := m.process(now); err != nil {
		t.Fatal(err)
	}

	m = newSingleNodeOn(t, store)
	now = 0
	for m.leadership == nil || m.leadership.leases == nil {
		m.advance(t, &now, DefaultTickInterval)
	}
	m.advance(t, &now, 200*time.Millisecond)
	if serial := m.leadership.leases.InForceSerial(); serial != 0 {
		t.Error("the new primary did not wait for the lease of a gateway with an older record")
	}
	m.advance(t, &now, lease.DefaultConfig().GracePeriod())
	if m.leadership.leases.InForceSerial() == 0 {
		t.Error("the new primary still waits for the gateway with the older record after the grace period")
	}
}

// TestReturningGatewayIsMarkedUpAfterGrace checks that a gateway that missed renewals is
// marked up, so that clients are directed to it, only after it has renewed for
// GatewayGrace.
func TestReturningGatewayIsMarkedUpAfterGrace(t *testing.T) {
	m, gateways, now := newPrimaryWithLease(t)
	record := func() catalog.Gateway { return m.driver.Catalog().Gateways()["gateway-0"] }
	m.advance(t, &now, m.config.Lease.Duration+200*time.Millisecond)
	if record().Up {
		t.Fatal("a gateway that stopped renewing is still marked up")
	}
	for returned := now; !record().Up; {
		gateways.renew(t, m, now)
		m.advance(t, &now, 100*time.Millisecond)
		waited := now - returned
		if record().Up && waited < m.config.GatewayGrace {
			t.Errorf("marked up %v after its first new renewal, want at least %v", waited, m.config.GatewayGrace)
		}
		if waited > m.config.GatewayGrace+time.Second {
			t.Fatalf("still marked down %v after its first new renewal", waited)
		}
	}
}
