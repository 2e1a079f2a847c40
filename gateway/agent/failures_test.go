package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/transport"
)

// TestRenewalFailureReasons checks that each way in which a renewal fails has a reason of
// its own, so that the logs of a gateway that stays behind name the cause.
func TestRenewalFailureReasons(t *testing.T) {
	cases := []struct {
		reason RenewalFailure
		grant  peer.Grant
		cut    bool
		first  *peer.Grant // granted before
	}{
		{reason: FailureNoAnswer, cut: true},
		{reason: FailureNoPrimary, grant: peer.Grant{Cluster: "c", Term: 1}},
		{reason: FailureRefused, grant: peer.Grant{Cluster: "c", Term: 1, Primary: "c1"}},
		{reason: FailureRedirected, grant: peer.Grant{Cluster: "c", Term: 1, Primary: "c2"}},
		{reason: FailureStaleTerm, first: &peer.Grant{QuorumConfirmed: true, Cluster: "c", Term: 5}, grant: peer.Grant{QuorumConfirmed: true, Cluster: "c", Term: 4}},
		{reason: FailureOtherCluster, first: &peer.Grant{QuorumConfirmed: true, Cluster: "c", Term: 5}, grant: peer.Grant{QuorumConfirmed: true, Cluster: "d", Term: 6}},
		{reason: FailureInvalidTransfer, grant: peer.Grant{QuorumConfirmed: true, Cluster: "c", Term: 1, Packed: peer.PackedTransfer("not compressed")}},
	}
	for _, c := range cases {
		t.Run(string(c.reason), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := transport.NewMemory()
				node := newFakeControlNode(t, memory, "c1")
				node.setGrant(c.grant)
				if c.first != nil {
					node.setGrant(*c.first)
				}
				if c.cut {
					memory.Partition("g", "c1")
				}
				a, stop := startAgent(t, memory.Node("g", "g"), Options{
					Gateway: peer.GatewayInfo{Name: "g", Incarnation: "i", PeerAddress: "g"},
					Seeds:   []string{"c1"},
				})
				time.Sleep(2 * time.Second)
				node.setGrant(c.grant)
				time.Sleep(2 * time.Second)
				status := a.Status()
				if status.RenewalFailures[c.reason] == 0 {
					t.Errorf("no renewal failed for %q: %v", c.reason, status.RenewalFailures)
				}
				stop()
			})
		})
	}
}
