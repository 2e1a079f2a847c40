package engine

import (
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/storage"
)

// newLeasedGateway is a single primary that has recorded a gateway and granted it a lease.
func newLeasedGateway(t *testing.T) (*machine, renewals, time.Duration) {
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

// TestLateRenewalOfAnEndedProcessChangesNoRecord: renewals may overtake one another and
// outlive their process. Whoever was replaced, and whoever doesn't know this term and
// isn't the one recorded, takes no record back.
func TestLateRenewalOfAnEndedProcessChangesNoRecord(t *testing.T) {
	m, ended, now := newLeasedGateway(t)
	incarnation := func() string { return m.driver.Catalog().Gateways()["gateway-0"].Incarnation }

	unknown := newGateways(1, "0")
	unknown.renew(t, m, now) // without the term
	if got := incarnation(); got != "1" {
		t.Errorf("a renewal without this term made the record that of incarnation %q, want 1", got)
	}
	restarted := newGateways(1, "2")
	restarted[0].Term = m.leadership.term
	restarted.renew(t, m, now)
	if got := incarnation(); got != "2" {
		t.Fatalf("the record is that of incarnation %q after the restart, want 2", got)
	}
	ended.renew(t, m, now) // late, and with this term
	if got := incarnation(); got != "2" {
		t.Errorf("a replaced process took the record back: incarnation %q, want 2", got)
	}
}

// TestNoLeaseWhileItsEndIsBeingRecorded: a record that says that a gateway may hold no
// lease is on its way, and the old one is still there. A lease granted now would be
// unknown to the next primary.
func TestNoLeaseWhileItsEndIsBeingRecorded(t *testing.T) {
	m, gateways, now := newLeasedGateway(t)
	const check = 50 * time.Millisecond
	lease := m.config.Lease
	m.advance(t, &now, lease.Duration+lease.ClockDriftMargin+m.config.GatewayGrace-check)
	for until := now + check + 2*maintenanceInterval; now < until; now += DefaultTickInterval {
		m.tick(now)
		m.maintain(now) // proposes the record and doesn't carry it out
	}
	if !m.driver.Catalog().Gateways()["gateway-0"].MayHoldLease {
		t.Fatal("the end of the lease is recorded already")
	}
	back := gateways[0]
	back.ReceivedSerial, back.ActiveSerial = m.table().Serial(), m.table().Serial()
	if grant := m.renew(now, back); !grant.Granted || grant.LeaseMS != 0 {
		t.Errorf("answered %+v while the end of the lease is being recorded", grant)
	}
	if err := m.process(now); err != nil {
		t.Fatal(err)
	}
	if m.driver.Catalog().Gateways()["gateway-0"].MayHoldLease {
		t.Error("the end of the lease is not recorded")
	}
}

// TestGatewayAheadOfThePrimaryIsNotGranted: a serial that the primary doesn't have comes
// from another history.
func TestGatewayAheadOfThePrimaryIsNotGranted(t *testing.T) {
	m, gateways, now := newLeasedGateway(t)
	ahead := gateways[0]
	ahead.ReceivedSerial = m.table().Serial() + 1
	if grant := m.renew(now, ahead); grant.Granted || grant.LeaseMS != 0 {
		t.Errorf("a gateway ahead of the primary was answered %+v", grant)
	}
}

// TestNewPrimaryWaitsForGatewaysOfOlderRecords: a record written before MayHoldLease
// existed says by Up alone that the gateway may have a lease.
func TestNewPrimaryWaitsForGatewaysOfOlderRecords(t *testing.T) {
	store := storage.NewMemory("disk-1")
	m := newSingleNodeOn(t, store)
	now := time.Duration(0)
	m.advance(t, &now, 5*time.Second)
	older := catalog.Gateway{Incarnation: "1", Zone: "north-1", Region: "north", PeerAddress: "gateway-1:1", Up: true}
	update := m.ownUpdate(nil, []registry.Record{registry.Add(catalog.GatewayRecord("gateway-1", older))})
	m.propose(now, update, func(result registry.Result, err error) {
		if err != nil || result.Code != registry.NoError {
			t.Errorf("the older record was not written: %v %v", result.Code, err)
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
		t.Error("a new primary does not wait for the lease of a gateway with an older record")
	}
	m.advance(t, &now, lease.DefaultConfig().GracePeriod())
	if m.leadership.leases.InForceSerial() == 0 {
		t.Error("the wait for the older record does not end")
	}
}

// TestGatewayThatReturnsIsNamedAfterAWhile: one that missed renewals and renews again
// gets its lease at once. Clients are sent to it only once it has renewed for the grace.
func TestGatewayThatReturnsIsNamedAfterAWhile(t *testing.T) {
	m, gateways, now := newLeasedGateway(t)
	record := func() catalog.Gateway { return m.driver.Catalog().Gateways()["gateway-0"] }
	m.advance(t, &now, m.config.Lease.Duration+200*time.Millisecond)
	if record().Up {
		t.Fatal("a quiet gateway is still recorded as up")
	}
	for returned := now; !record().Up; {
		gateways.renew(t, m, now)
		m.advance(t, &now, 100*time.Millisecond)
		waited := now - returned
		if record().Up && waited < m.config.GatewayGrace {
			t.Errorf("up %v after its return, want %v", waited, m.config.GatewayGrace)
		}
		if waited > m.config.GatewayGrace+time.Second {
			t.Fatalf("not up %v after its return", waited)
		}
	}
}
