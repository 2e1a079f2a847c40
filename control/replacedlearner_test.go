package control

import (
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
)

// TestSilentLearnerMakesWayForTheNextDisk: a learner whose disk was replaced in turn is
// removed as soon as it is silent, and not only when its patience is over.
func TestSilentLearnerMakesWayForTheNextDisk(t *testing.T) {
	const now = 100 * time.Second
	learner := consensus.Member{ID: "c2", Name: "three", Address: "3", Learner: true}
	next := consensus.Member{ID: "c3", Name: "three", Address: "3"}
	members := []consensus.Member{{ID: "a", Name: "one", Address: "1"}, {ID: "b", Name: "two", Address: "2"}, learner}
	cases := []struct {
		name    string
		contact time.Duration
		joins   []joinRequest
		removed bool
	}{
		{name: "silent and replaced", contact: now - 2*reachableWithin, joins: []joinRequest{{member: next, asked: now}}, removed: true},
		{name: "replaced and heard", contact: now, joins: []joinRequest{{member: next, asked: now}}},
		{name: "silent only", contact: now - 2*reachableWithin},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := repair{
				now: now,
				status: consensus.Status{
					ID: "a", Commit: 900, MembershipCommitted: true,
					Match:       map[consensus.ID]uint64{"a": 900, "b": 900},
					LastContact: map[consensus.ID]time.Duration{"b": now, "c2": c.contact},
					Membership:  consensus.Membership{Members: members},
				},
				joins:        c.joins,
				voters:       3,
				replaceAfter: defaultReplaceAfter,
			}
			_, reason := r.next()
			if removed := reason != ""; removed != c.removed {
				t.Errorf("next step %q, removed: %t, want %t", reason, removed, c.removed)
			}
		})
	}
}
