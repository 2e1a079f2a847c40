package leases

import (
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
)

const (
	testTerm  = 3
	testGrace = time.Second
)

// primary is a manager and the table that its record updates change.
type primary struct {
	t       *testing.T
	manager *Manager
	table   *registry.Table
}

func newPrimary(t *testing.T) *primary {
	t.Helper()
	table, err := registry.New(catalog.Apex, catalog.Schema(), registry.SOA{Primary: "control-1", Serial: 1}, []string{"control-1"})
	if err != nil {
		t.Fatal(err)
	}
	config := Config{Lease: lease.DefaultConfig(), GatewayGrace: testGrace}
	return &primary{t: t, manager: NewManager(config, testTerm, 0, 0, table.Serial()), table: table}
}

func (p *primary) current() *catalog.State {
	p.t.Helper()
	state, err := catalog.Read(p.table.View())
	if err != nil {
		p.t.Fatal(err)
	}
	return state
}

func (p *primary) record(gateway string) catalog.Gateway { return p.current().Gateways()[gateway] }

// renew records a renewal, and queues the change that follows from it.
func (p *primary) renew(now time.Duration, gateway, incarnation string) bool {
	p.t.Helper()
	renew := peer.Renew{Gateway: peer.GatewayInfo{Name: gateway, Incarnation: incarnation}, Term: testTerm}
	change := p.manager.RecordRenewal(now, p.current(), &renew)
	if change == nil {
		return false
	}
	p.manager.QueueRecord(change)
	return true
}

// commit applies the next update of member records, and returns how many it changes.
func (p *primary) commit(now time.Duration) int {
	p.t.Helper()
	next, due := p.manager.NextRecordUpdate(now)
	if !due {
		return 0
	}
	update := registry.NewUpdate(catalog.Apex, next.Prerequisites, next.Changes)
	if result := p.table.Apply(&update, func(*registry.Update) error { return nil }); result.Code != registry.NoError {
		p.t.Fatalf("the update answered %+v", result)
	}
	next.Finished()
	return len(next.Changes)
}

func TestRecordChangesWaitForTheUpdateInProgress(t *testing.T) {
	const now = 2 * TakeoverDelay
	p := newPrimary(t)
	p.renew(now, "gateway-1", "1")
	first, due := p.manager.NextRecordUpdate(now)
	if !due || len(first.Changes) != 1 {
		t.Fatalf("the first update is due %t with %d changes", due, len(first.Changes))
	}
	p.renew(now, "gateway-2", "1")
	p.renew(now, "gateway-3", "1")
	if p.renew(now, "gateway-1", "1") {
		t.Error("a gateway whose change is in progress has another one")
	}
	if _, due := p.manager.NextRecordUpdate(now); due {
		t.Error("a second update is due before the first is answered")
	}
	first.Finished()
	if changed := p.commit(now); changed != 2 {
		t.Errorf("the second update has %d changes, want 2", changed)
	}
}

func TestRecordChangesAreDelayedAfterATakeover(t *testing.T) {
	p := newPrimary(t)
	p.renew(0, "gateway-1", "1")
	if changed := p.commit(TakeoverDelay - 1); changed != 0 {
		t.Errorf("%d records are changed while earlier leases are unknown", changed)
	}
	if changed := p.commit(TakeoverDelay); changed != 1 {
		t.Errorf("%d records are changed after the delay, want 1", changed)
	}
}

func TestLeaseNeedsARecord(t *testing.T) {
	const now = 2 * TakeoverDelay
	info := peer.GatewayInfo{Name: "gateway-1", Incarnation: "1"}
	p := newPrimary(t)
	p.renew(now, info.Name, info.Incarnation)
	if p.manager.MayLease(p.current(), info) {
		t.Error("a gateway may have a lease before its record is written")
	}
	p.commit(now)
	if !p.manager.MayLease(p.current(), info) {
		t.Error("a recorded gateway may have no lease")
	}
	info.Incarnation = "2"
	if p.manager.MayLease(p.current(), info) {
		t.Error("a restarted gateway may have a lease by its predecessor's record")
	}
}

func TestLapsedGatewaysAreMarkedDownThenRevoked(t *testing.T) {
	const renewed = 2 * TakeoverDelay
	config := lease.DefaultConfig()
	p := newPrimary(t)
	p.renew(renewed, "gateway-1", "1")
	p.commit(renewed)
	steps := []struct {
		name     string
		idle     time.Duration
		up       bool
		mayLease bool
	}{
		{name: "renewals missed, but not enough", idle: MissedRenewals * config.RenewalInterval, up: true, mayLease: true},
		{name: "renewals missed", idle: MissedRenewals*config.RenewalInterval + 1, mayLease: true},
		{name: "lease within its grace", idle: config.Duration + config.ClockDriftMargin + testGrace, mayLease: true},
		{name: "lease expired", idle: config.Duration + config.ClockDriftMargin + testGrace + 1},
	}
	for _, step := range steps {
		now := renewed + step.idle
		for _, change := range p.manager.Lapsed(now, p.current()) {
			p.manager.QueueRecord(change)
		}
		p.commit(now)
		record := p.record("gateway-1")
		if record.Up != step.up || record.MayHoldLease != step.mayLease {
			t.Errorf("%s: up %t, may have a lease %t", step.name, record.Up, record.MayHoldLease)
		}
	}
}

func TestLateRenewalChangesNothing(t *testing.T) {
	const now = 2 * TakeoverDelay
	p := newPrimary(t)
	p.renew(now, "gateway-1", "1")
	p.commit(now)
	if !p.renew(now, "gateway-1", "2") {
		t.Fatal("a restarted gateway is not recorded")
	}
	p.commit(now)
	if p.renew(now, "gateway-1", "1") {
		t.Error("a renewal of the replaced incarnation changes the record")
	}
	if got := p.record("gateway-1").Incarnation; got != "2" {
		t.Errorf("the record names incarnation %s", got)
	}
}

func TestReviewNotifiesOnceOfAChange(t *testing.T) {
	p := newPrimary(t)
	if !p.manager.Review(0, false, 2) || !p.manager.TakeNotification() {
		t.Error("a new serial is not notified")
	}
	if p.manager.Review(0, false, 2) || p.manager.TakeNotification() {
		t.Error("an unchanged serial is reviewed or notified again")
	}
	p.renew(time.Second, "gateway-1", "1")
	if !p.manager.Review(0, false, 2) {
		t.Error("a gateway's report is not reviewed")
	}
	if p.manager.TakeNotification() {
		t.Error("a gateway's report alone is notified")
	}
}
