package control

import (
	"crypto/rand"
	"fmt"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/storage"
)

// TestGatewaysThatComeAtOnceAreFewChanges: after a loss of power all gateways come
// back within moments. Each change of the registry goes to each of them, so their
// records must not be a change each.
func TestGatewaysThatComeAtOnceAreFewChanges(t *testing.T) {
	const gateways, mostChanges = 300, 4
	m := loneMachine(t)
	now := time.Duration(0)
	m.advance(t, &now, 5*time.Second)
	crowd := newCrowd(gateways, "1")
	before := m.table.Serial()
	crowd.renew(t, m, now)
	m.advance(t, &now, 50*time.Millisecond)
	if changes := m.table.Serial() - before; changes > mostChanges {
		t.Errorf("%d gateways that came at once are %d changes of the registry, want at most %d", gateways, changes, mostChanges)
	}
	crowd.renew(t, m, now)
	if leased := crowd.renew(t, m, now); leased != gateways {
		t.Errorf("%d of %d gateways have a lease", leased, gateways)
	}
}

// TestGatewaysThatReturnServeBeforeTheyAreRecorded: after a loss of all power the
// first thing that gateways get is the table to serve by. Their new records, which go
// to each of them, come after it, as one change.
func TestGatewaysThatReturnServeBeforeTheyAreRecorded(t *testing.T) {
	const gateways = 300
	store := storage.NewMemory("disk-1")
	m := loneMachineOn(t, store)
	now := time.Duration(0)
	m.advance(t, &now, 5*time.Second)
	crowd := newCrowd(gateways, "1")
	for range 4 {
		crowd.renew(t, m, now)
		m.advance(t, &now, 50*time.Millisecond)
	}

	m = loneMachineOn(t, store)
	now = 0
	for m.leadership == nil || !m.leadership.ready {
		m.advance(t, &now, defaultTickInterval)
	}
	crowd = newCrowd(gateways, "2")
	term := m.leadership.term
	for i := range crowd {
		crowd[i].Term = term // as another control node told it
	}
	crowd.renew(t, m, now)
	if written := m.recorded("2"); written > 0 {
		t.Errorf("%d new records were written before anybody may serve", written)
	}
	m.advance(t, &now, 2*defaultTickInterval)
	if m.leadership.grantor.ActivationSerial() == 0 {
		t.Error("nothing may become active although every gateway was heard")
	}
	crowd.renew(t, m, now)
	for i := range crowd {
		if crowd[i].ActiveSerial == 0 {
			t.Fatalf("%s may not serve yet", crowd[i].Gateway.Name)
		}
	}
	m.advance(t, &now, 4*defaultTickInterval)
	if written := m.recorded("2"); written != gateways {
		t.Errorf("%d of %d gateways are recorded", written, gateways)
	}
}

// recorded counts the member records with an incarnation.
func (m *machine) recorded(incarnation string) int {
	count := 0
	for _, record := range m.contents.Gateways() {
		if record.Incarnation == incarnation {
			count++
		}
	}
	return count
}

// TestAQuietGatewayHoldsRecordsBackForAMoment: one that is never heard again does not
// keep the others from being recorded.
func TestAQuietGatewayHoldsRecordsBackForAMoment(t *testing.T) {
	store := storage.NewMemory("disk-1")
	m := loneMachineOn(t, store)
	now := time.Duration(0)
	m.advance(t, &now, 5*time.Second)
	for range 4 {
		newCrowd(3, "1").renew(t, m, now)
		m.advance(t, &now, 50*time.Millisecond)
	}
	m = loneMachineOn(t, store)
	now = 0
	for m.leadership == nil || !m.leadership.ready {
		m.advance(t, &now, defaultTickInterval)
	}
	crowd := newCrowd(2, "2")
	ready := now
	for m.contents.Gateways()["gateway-1"].Incarnation != "2" {
		crowd.renew(t, m, now)
		m.advance(t, &now, defaultTickInterval)
		if now-ready > takeoverHold+200*time.Millisecond {
			t.Fatal("a gateway that returned is not recorded")
		}
	}
}

// TestLargeTransfersLeaveRoomOnTheLink: when the records of all gateways change at
// once, the differences go out over some renewals and fill half of the link at most.
// Everybody keeps the lease meanwhile, and has the difference in the end.
func TestLargeTransfersLeaveRoomOnTheLink(t *testing.T) {
	const gateways, interval, mostIntervals = 300, 50 * time.Millisecond, 60
	m := loneMachine(t)
	now := time.Duration(0)
	m.advance(t, &now, 5*time.Second)
	crowd := newCrowd(gateways, "1")
	for range 4 {
		crowd.renew(t, m, now)
		m.advance(t, &now, interval)
	}
	others := newCrowd(gateways, "1")
	for i := range others {
		others[i].Gateway.Name += "-other"
		others[i].Gateway.Incarnation = rand.Text()
	}
	others.renew(t, m, now) // as many new records
	m.advance(t, &now, interval)
	bound := transferShare * defaultLinkMbps * 1e6 / 8 * (interval + pacedBurst).Seconds()
	for range mostIntervals {
		sent, behind := 0, 0
		for i := range crowd {
			m.tick(now)
			grant := m.renew(now, crowd[i])
			sent += len(grant.Packed)
			if grant.LeaseMS == 0 {
				t.Fatalf("%s lost its lease", crowd[i].Gateway.Name)
			}
			if transfer, err := grant.UnpackTransfer(); err != nil {
				t.Fatal(err)
			} else if transfer != nil {
				crowd[i].ReceivedSerial = transfer.To
			}
			if crowd[i].ReceivedSerial != m.table.Serial() {
				behind++
			}
		}
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

// crowd is the renewals of many gateways.
type crowd []peer.Renew

func newCrowd(count int, incarnation string) crowd {
	renewals := make(crowd, count)
	for i := range renewals {
		name := fmt.Sprintf("gateway-%d", i)
		renewals[i].Gateway = peer.GatewayInfo{Name: name, Incarnation: incarnation, Zone: "north-1", Region: "north", PeerAddress: name + ":1"}
	}
	return renewals
}

// renew renews each lease, and says how many were granted.
func (c crowd) renew(t *testing.T, m *machine, now time.Duration) (leased int) {
	t.Helper()
	for i := range c {
		m.tick(now)
		grant := m.renew(now, c[i])
		c[i].Term, c[i].ActiveSerial = grant.Term, grant.ActivationSerial
		transfer, err := grant.UnpackTransfer()
		if err != nil {
			t.Fatal(err)
		}
		if transfer != nil {
			c[i].ReceivedSerial = transfer.To
		}
		if grant.LeaseMS > 0 {
			leased++
		}
	}
	if err := m.settle(now); err != nil {
		t.Fatal(err)
	}
	return leased
}
