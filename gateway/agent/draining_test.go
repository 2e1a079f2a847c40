package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/transport"
)

// TestDrainingGatewayFollowsRegistry guards against a gateway that ignores the registry from
// its SIGTERM on, while requests in flight are still decided by its state: their streams
// were resumed at replicas that had been draining for long.
func TestDrainingGatewayFollowsRegistry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := transport.NewMemory()
		control := newFakeControlNode(t, memory, "c1")
		table := newTable(t)
		control.table = table
		control.setGrant(peer.Grant{QuorumConfirmed: true, Cluster: "c", Term: 1, LeaseMS: 1800, ActivationSerial: 10})
		a, stop := startAgent(t, memory.Node("g", "g"), Options{
			Gateway: peer.GatewayInfo{Name: "g", Incarnation: "i", PeerAddress: "g"},
			Seeds:   []string{"c1"},
		})
		time.Sleep(time.Second)
		a.ReleaseLease(t.Context())
		renewals := control.count()
		addVersion(table, 1)
		control.setGrant(peer.Grant{QuorumConfirmed: true, Cluster: "c", Term: 1, ActivationSerial: 11})
		time.Sleep(time.Second)
		if version := a.Active().Version(); version != 1 {
			t.Errorf("version %d is active one second after version 1, want 1", version)
		}
		if a.Valid() {
			t.Error("a released lease is valid again")
		}
		if last := control.lastRenew(); !last.Gateway.Draining || !last.Follows {
			t.Errorf("the last renewal says draining: %v, follows: %v; want both", last.Gateway.Draining, last.Follows)
		}
		if got := control.count() - renewals; got > 6 {
			t.Errorf("%d renewals in a second, want no more than those of a gateway that stays", got)
		}
		control.setGrant(peer.Grant{QuorumConfirmed: true, Cluster: "c", Term: 1, LeaseMS: 1800, ActivationSerial: 11})
		time.Sleep(time.Second)
		if a.Valid() {
			t.Error("a draining gateway accepted a lease")
		}
		stop()
		_ = control.network.Close()
	})
}

// count returns the number of renewals that the node has answered.
func (c *fakeControlNode) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.renewals
}
