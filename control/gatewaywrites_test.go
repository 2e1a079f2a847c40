package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

// TestGatewaysThatComeAtOnceAreFewChanges: after a loss of power all gateways come
// back within moments. Each change of the registry goes to each of them, so their
// records must not be a change each.
func TestGatewaysThatComeAtOnceAreFewChanges(t *testing.T) {
	const gateways, mostChanges = 300, 4
	m := loneMachine(t)
	now := time.Duration(0)
	m.advance(t, &now, 5*time.Second)
	renewals := make([]peer.Renew, gateways)
	for i := range renewals {
		name := fmt.Sprintf("gateway-%d", i)
		renewals[i].Gateway = peer.GatewayInfo{Name: name, Incarnation: "1", Zone: "north-1", Region: "north", PeerAddress: name + ":1"}
	}
	renewAll := func() (leased int) {
		for i := range renewals {
			m.tick(now)
			grant := m.renew(now, renewals[i])
			renewals[i].Term, renewals[i].Active = grant.Term, grant.Activate
			transfer, err := grant.Difference()
			if err != nil {
				t.Fatal(err)
			}
			if transfer != nil {
				renewals[i].Held = transfer.To
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
	before := m.table.Serial()
	renewAll()
	m.advance(t, &now, 50*time.Millisecond)
	if changes := m.table.Serial() - before; changes > mostChanges {
		t.Errorf("%d gateways that came at once are %d changes of the registry, want at most %d", gateways, changes, mostChanges)
	}
	renewAll()
	if leased := renewAll(); leased != gateways {
		t.Errorf("%d of %d gateways have a lease", leased, gateways)
	}
}
