package membership

import (
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
)

// TestUnreachableLearnerDoesNotBlockTheNextDisk checks that a membership change, the removal
// of the learner, follows as soon as a learner whose own disk was replaced is unreachable,
// rather than after LearnerTimeout. No other learner can be added before.
func TestUnreachableLearnerDoesNotBlockTheNextDisk(t *testing.T) {
	const now = 100 * time.Second
	learner := consensus.Member{ID: "c2", Name: "three", Address: "3", Learner: true}
	next := consensus.Member{ID: "c3", Name: "three", Address: "3"}
	members := []consensus.Member{{ID: "a", Name: "one", Address: "1"}, {ID: "b", Name: "two", Address: "2"}, learner}
	cases := []struct {
		name    string
		contact time.Duration
		joins   []JoinRequest
		removed bool
	}{
		{name: "unreachable and replaced", contact: now - 2*ReachableTimeout, joins: []JoinRequest{{Member: next, ReceivedAt: now}}, removed: true},
		{name: "replaced but reachable", contact: now, joins: []JoinRequest{{Member: next, ReceivedAt: now}}},
		{name: "unreachable but not replaced", contact: now - 2*ReachableTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := Repair{
				Now: now,
				Status: consensus.Status{
					ID: "a", Commit: 900, MembershipCommitted: true,
					Match:         map[consensus.ID]uint64{"a": 900, "b": 900},
					LastResponses: map[consensus.ID]time.Duration{"b": now, "c2": c.contact},
					Membership:    consensus.Membership{Members: members},
				},
				Joins:        c.joins,
				Voters:       3,
				ReplaceAfter: 3 * time.Second,
			}
			next, needed := r.Next()
			if needed != c.removed {
				t.Errorf("next change %q: needed is %t, want %t", next.Reason, needed, c.removed)
			}
		})
	}
}
