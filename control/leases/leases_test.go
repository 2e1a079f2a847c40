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

// primary is a manager together with the table to which its record updates are applied.
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

// renew records a renewal with the current term, and queues the resulting record change.
// It returns false if there is none.
func (p *primary) renew(now time.Duration, gateway, incarnation string) bool {
	p.t.Helper()
	renew := peer.Renew{Gateway: peer.GatewayInfo{Name: gateway, Incarnation: incarnation}, Term: testTerm}
	change := p.manager.RecordRenewal(now, p.current(), &renew)
	if change == nil {
		return false
	}
	p.manager.QueueRecordChange(change)
	return true
}

// commit applies the next update of gateway records, and returns the number of changed
// records.
func (p *primary) commit(now time.Duration) int {
	p.t.Helper()
	next, due := p.manager.NextRecordUpdate(now)
	if !due {
		return 0
	}
	update := registry.NewUpdate(catalog.Apex, next.Prerequisites, next.Changes)
	if result := p.table.Apply(&update, func(*registry.Update) error { return nil }); result.Code != registry.NoError {
		p.t.Fatalf("applying the record update returned %+v", result)
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
		t.Fatalf("the first update: due %t with %d changes, want one change", due, len(first.Changes))
	}
	p.renew(now, "gateway-2", "1")
	p.renew(now, "gateway-3", "1")
	if p.renew(now, "gateway-1", "1") {
		t.Error("a second change was queued for a gateway whose change is in progress")
	}
	if _, due := p.manager.NextRecordUpdate(now); due {
		t.Error("a second update is due while the first is in progress")
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
		t.Errorf("%d records were changed during the takeover delay, want 0", changed)
	}
	if changed := p.commit(TakeoverDelay); changed != 1 {
		t.Errorf("%d records were changed after the takeover delay, want 1", changed)
	}
}

func TestLeaseNeedsARecord(t *testing.T) {
	const now = 2 * TakeoverDelay
	info := peer.GatewayInfo{Name: "gateway-1", Incarnation: "1"}
	p := newPrimary(t)
	p.renew(now, info.Name, info.Incarnation)
	if p.manager.MayGrantLease(p.current(), info) {
		t.Error("a lease may be granted before the gateway's record is written")
	}
	p.commit(now)
	if !p.manager.MayGrantLease(p.current(), info) {
		t.Error("no lease may be granted although the gateway's record is written")
	}
	info.Incarnation = "2"
	if p.manager.MayGrantLease(p.current(), info) {
		t.Error("a lease may be granted to a restarted gateway because of its previous incarnation's record")
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
		{name: "as many renewals missed as allowed", idle: MissedRenewals * config.RenewalInterval, up: true, mayLease: true},
		{name: "too many renewals missed", idle: MissedRenewals*config.RenewalInterval + 1, mayLease: true},
		{name: "lease expired, within the grace", idle: config.Duration + config.ClockDriftMargin + testGrace, mayLease: true},
		{name: "lease expired, grace over", idle: config.Duration + config.ClockDriftMargin + testGrace + 1},
	}
	for _, step := range steps {
		now := renewed + step.idle
		for _, change := range p.manager.LapsedChanges(now, p.current()) {
			p.manager.QueueRecordChange(change)
		}
		p.commit(now)
		record := p.record("gateway-1")
		if record.Up != step.up || record.MayHoldLease != step.mayLease {
			t.Errorf("%s: the record has Up %t and MayHoldLease %t, at least one of which is wrong", step.name, record.Up, record.MayHoldLease)
		}
	}
}

func TestStaleRenewalChangesNoRecord(t *testing.T) {
	const now = 2 * TakeoverDelay
	p := newPrimary(t)
	p.renew(now, "gateway-1", "1")
	p.commit(now)
	if !p.renew(now, "gateway-1", "2") {
		t.Fatal("the renewal of a restarted gateway changes no record")
	}
	p.commit(now)
	if p.renew(now, "gateway-1", "1") {
		t.Error("a renewal of the replaced incarnation changes the record")
	}
	if got := p.record("gateway-1").Incarnation; got != "2" {
		t.Errorf("the recorded incarnation is %s, want 2", got)
	}
}

func TestReviewNotifiesOnceOfAChange(t *testing.T) {
	p := newPrimary(t)
	if !p.manager.Review(0, false, 2) || !p.manager.TakeNotification() {
		t.Error("a new serial causes no notification")
	}
	if p.manager.Review(0, false, 2) || p.manager.TakeNotification() {
		t.Error("an unchanged serial causes another review or notification")
	}
	p.renew(time.Second, "gateway-1", "1")
	if !p.manager.Review(0, false, 2) {
		t.Error("a gateway's report causes no review")
	}
	if p.manager.TakeNotification() {
		t.Error("a gateway's report causes a notification although no serial has changed")
	}
}
