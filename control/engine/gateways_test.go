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

// TestGatewaysThatComeAtOnceAreFewChanges: after a loss of power all gateways come
// back within moments. Each change of the registry goes to each of them, so their
// records must not be a change each.
func TestGatewaysThatComeAtOnceAreFewChanges(t *testing.T) {
	const gateways, mostChanges = 300, 4
	m := newSingleNode(t)
	now := time.Duration(0)
	m.advance(t, &now, 5*time.Second)
	fleet := newGateways(gateways, "1")
	before := m.table().Serial()
	fleet.renew(t, m, now)
	m.advance(t, &now, 50*time.Millisecond)
	if changes := m.table().Serial() - before; changes > mostChanges {
		t.Errorf("%d gateways that came at once are %d changes of the registry, want at most %d", gateways, changes, mostChanges)
	}
	fleet.renew(t, m, now)
	if leased := fleet.renew(t, m, now); leased != gateways {
		t.Errorf("%d of %d gateways have a lease", leased, gateways)
	}
}

// TestGatewaysThatReturnServeBeforeTheyAreRecorded: after a loss of all power the
// first thing that gateways get is the table to serve by. Their new records, which go
// to each of them, come after it, as one change.
func TestGatewaysThatReturnServeBeforeTheyAreRecorded(t *testing.T) {
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
		fleet[i].Term = term // as another control node reported it
	}
	fleet.renew(t, m, now)
	if written := m.recorded("2"); written > 0 {
		t.Errorf("%d new records were written before anybody may serve", written)
	}
	m.advance(t, &now, 2*DefaultTickInterval)
	if m.leadership.leases.ActivatableSerial() == 0 {
		t.Error("nothing may become active although every gateway renewed")
	}
	fleet.renew(t, m, now)
	for i := range fleet {
		if fleet[i].ActiveSerial == 0 {
			t.Fatalf("%s may not serve yet", fleet[i].Gateway.Name)
		}
	}
	m.advance(t, &now, 4*DefaultTickInterval)
	if written := m.recorded("2"); written != gateways {
		t.Errorf("%d of %d gateways are recorded", written, gateways)
	}
}

// recorded counts the member records with an incarnation.
func (m *machine) recorded(incarnation string) int {
	count := 0
	for _, record := range m.driver.Catalog().Gateways() {
		if record.Incarnation == incarnation {
			count++
		}
	}
	return count
}

// TestSilentGatewayDelaysRecordsBriefly: one that never renews again does not
// keep the others from being recorded.
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
			t.Fatal("a gateway that returned is not recorded")
		}
	}
}

// TestLargeTransfersLeaveRoomOnTheLink: when the records of all gateways change at
// once, the differences go out over some renewals and fill half of the link at most.
// Everybody keeps the lease meanwhile, and has the difference in the end.
func TestLargeTransfersLeaveRoomOnTheLink(t *testing.T) {
	const gateways, interval, mostIntervals = 300, 50 * time.Millisecond, 60
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
	others.renew(t, m, now) // as many new records
	m.advance(t, &now, interval)
	bound := transfer.LinkShare * DefaultLinkMbps * 1e6 / 8 * (interval + transfer.Burst).Seconds()
	for range mostIntervals {
		sent, behind := fleet.follow(t, m, now)
		if float64(sent) > bound+64<<10 { // and one transfer that was begun
			t.Fatalf("%d octets at once, want at most %.0f", sent, bound)
		}
		if behind == 0 {
			return
		}
		m.advance(t, &now, interval)
	}
	t.Errorf("some gateways are behind after %v", mostIntervals*interval)
}

// follow renews each lease, which none may lose. It returns the octets of the packed
// transfers that were sent, and the number of gateways that are still behind.
func (r renewals) follow(t *testing.T, m *machine, now time.Duration) (sent, behind int) {
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

// renewals are the next renewals of many gateways.
type renewals []peer.Renew

func newGateways(count int, incarnation string) renewals {
	made := make(renewals, count)
	for i := range made {
		name := fmt.Sprintf("gateway-%d", i)
		made[i].Gateway = peer.GatewayInfo{Name: name, Incarnation: incarnation, Zone: "north-1", Region: "north", PeerAddress: name + ":1"}
	}
	return made
}

// renew renews each lease, and says how many were granted.
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
