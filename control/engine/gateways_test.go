package engine

import (
	"crypto/rand"
	"fmt"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/control/leases"
	"github.com/deckpulley/deckpulley/control/transfer"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/storage"
)

// TestGatewaysThatStartTogetherShareUpdates checks that the records of many gateways that
// start at once are written by a few updates. All gateways start together after a power
// loss, and every update of the registry is sent to each of them.
func TestGatewaysThatStartTogetherShareUpdates(t *testing.T) {
	const gateways, maxChanges = 300, 4
	m := newSingleNode(t)
	now := time.Duration(0)
	m.advance(t, &now, 5*time.Second)
	fleet := newGateways(gateways, "1")
	before := m.table().Serial()
	fleet.renew(t, m, now)
	m.advance(t, &now, 50*time.Millisecond)
	if changes := m.table().Serial() - before; changes > maxChanges {
		t.Errorf("%d gateways that started together caused %d updates of the registry, want at most %d", gateways, changes, maxChanges)
	}
	fleet.renew(t, m, now)
	if leased := fleet.renew(t, m, now); leased != gateways {
		t.Errorf("%d of %d gateways were granted a lease, want all", leased, gateways)
	}
}

// TestRestartedGatewaysActivateBeforeTheirRecordsChange checks that after a restart of
// the control node and all gateways, the gateways may activate the existing table before
// their new records, which are sent to each of them, are written.
func TestRestartedGatewaysActivateBeforeTheirRecordsChange(t *testing.T) {
	const gateways = 300
	store := storage.NewMemory("disk-1")
	m := newSingleNodeOn(t, store)
	now := time.Duration(0)
	m.advance(t, &now, 5*time.Second)
	fleet := newGateways(gateways, "1")
	for range 4 {
		fleet.renew(t, m, now)
		m.advance(t, &now, 50*time.Millisecond)
	}

	m = newSingleNodeOn(t, store)
	now = 0
	for m.leadership == nil || m.leadership.leases == nil {
		m.advance(t, &now, DefaultTickInterval)
	}
	fleet = newGateways(gateways, "2")
	term := m.leadership.term
	for i := range fleet {
		fleet[i].Term = term // which another control node has told them
	}
	fleet.renew(t, m, now)
	if written := m.countRecords("2"); written > 0 {
		t.Errorf("%d new records were written before any gateway may activate the table, want 0", written)
	}
	m.advance(t, &now, 2*DefaultTickInterval)
	if m.leadership.leases.ActivatableSerial() == 0 {
		t.Error("no serial may be activated although every gateway has renewed")
	}
	fleet.renew(t, m, now)
	for i := range fleet {
		if fleet[i].ActiveSerial == 0 {
			t.Fatalf("%s may not activate a serial yet", fleet[i].Gateway.Name)
		}
	}
	m.advance(t, &now, 4*DefaultTickInterval)
	if written := m.countRecords("2"); written != gateways {
		t.Errorf("%d of %d gateways have their new records, want all", written, gateways)
	}
}

// countRecords counts the gateway records with an incarnation.
func (m *machine) countRecords(incarnation string) int {
	count := 0
	for _, record := range m.driver.Catalog().Gateways() {
		if record.Incarnation == incarnation {
			count++
		}
	}
	return count
}

// TestSilentGatewayDelaysRecordsBriefly checks that a gateway that never renews with a
// new primary delays the new records of the others by at most TakeoverDelay, with a
// tolerance of 200 ms.
func TestSilentGatewayDelaysRecordsBriefly(t *testing.T) {
	store := storage.NewMemory("disk-1")
	m := newSingleNodeOn(t, store)
	now := time.Duration(0)
	m.advance(t, &now, 5*time.Second)
	for range 4 {
		newGateways(3, "1").renew(t, m, now)
		m.advance(t, &now, 50*time.Millisecond)
	}
	m = newSingleNodeOn(t, store)
	now = 0
	for m.leadership == nil || m.leadership.leases == nil {
		m.advance(t, &now, DefaultTickInterval)
	}
	fleet := newGateways(2, "2")
	ready := now
	for m.driver.Catalog().Gateways()["gateway-1"].Incarnation != "2" {
		fleet.renew(t, m, now)
		m.advance(t, &now, DefaultTickInterval)
		if now-ready > leases.TakeoverDelay+200*time.Millisecond {
			t.Fatal("a restarted gateway has no new record 200 ms after the takeover delay")
		}
	}
}

// TestLargeTransfersAreRateLimited checks that when the records of all gateways change at
// once, the incremental transfers are spread over several renewals and use at most half
// of the link, and that every gateway keeps its lease and catches up.
func TestLargeTransfersAreRateLimited(t *testing.T) {
	const gateways, interval, maxIntervals = 300, 50 * time.Millisecond, 60
	m := newSingleNode(t)
	now := time.Duration(0)
	m.advance(t, &now, 5*time.Second)
	fleet := newGateways(gateways, "1")
	for range 4 {
		fleet.renew(t, m, now)
		m.advance(t, &now, interval)
	}
	others := newGateways(gateways, "1")
	for i := range others {
		others[i].Gateway.Name += "-other"
		others[i].Gateway.Incarnation = rand.Text()
	}
	others.renew(t, m, now) // adds a record for each
	m.advance(t, &now, interval)
	bound := transfer.LinkShare * DefaultLinkMbps * 1e6 / 8 * (interval + transfer.Burst).Seconds()
	for range maxIntervals {
		sent, behind := fleet.renewAndCatchUp(t, m, now)
		if float64(sent) > bound+64<<10 { // the last transfer may exceed the limit
			t.Fatalf("%d bytes were sent in one interval, want at most %.0f", sent, bound)
		}
		if behind == 0 {
			return
		}
		m.advance(t, &now, interval)
	}
	t.Errorf("some gateways have not caught up after %v", maxIntervals*interval)
}

// renewAndCatchUp renews each lease and fails the test if one is lost. It returns the
// bytes of the packed transfers that were sent, and the number of gateways that still lack
// the newest serial.
func (r renewals) renewAndCatchUp(t *testing.T, m *machine, now time.Duration) (sent, behind int) {
	t.Helper()
	for i := range r {
		m.tick(now)
		grant := m.renew(now, r[i])
		sent += len(grant.Packed)
		if grant.LeaseMS == 0 {
			t.Fatalf("%s lost its lease", r[i].Gateway.Name)
		}
		if transfer, err := grant.UnpackTransfer(); err != nil {
			t.Fatal(err)
		} else if transfer != nil {
			r[i].ReceivedSerial = transfer.To
		}
		if r[i].ReceivedSerial != m.table().Serial() {
			behind++
		}
	}
	return sent, behind
}

// renewals are the next renewal requests of many gateways.
type renewals []peer.Renew

func newGateways(count int, incarnation string) renewals {
	made := make(renewals, count)
	for i := range made {
		name := fmt.Sprintf("gateway-%d", i)
		made[i].Gateway = peer.GatewayInfo{Name: name, Incarnation: incarnation, Zone: "north-1", Region: "north", PeerAddress: name + ":1"}
	}
	return made
}

// renew sends each renewal, and returns the number of leases that were granted.
func (r renewals) renew(t *testing.T, m *machine, now time.Duration) (leased int) {
	t.Helper()
	for i := range r {
		m.tick(now)
		grant := m.renew(now, r[i])
		r[i].Term, r[i].ActiveSerial = grant.Term, grant.ActivationSerial
		transfer, err := grant.UnpackTransfer()
		if err != nil {
			t.Fatal(err)
		}
		if transfer != nil {
			r[i].ReceivedSerial = transfer.To
		}
		if grant.LeaseMS > 0 {
			leased++
		}
	}
	if err := m.process(now); err != nil {
		t.Fatal(err)
	}
	return leased
}
