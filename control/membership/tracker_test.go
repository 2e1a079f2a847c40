package membership

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/deckpulley/deckpulley/consensus"
)

func TestTrackerRetainsTheNewestRequestOfAnAddress(t *testing.T) {
	tracker := NewTracker()
	old := consensus.Member{ID: "old", Address: "1"}
	fresh := consensus.Member{ID: "fresh", Address: "1"}
	other := consensus.Member{ID: "other", Address: "2"}
	for i, member := range []consensus.Member{old, other, fresh} {
		tracker.RecordJoin(JoinRequest{Member: member, ReceivedAt: time.Duration(i)})
	}
	want := []JoinRequest{{Member: fresh, ReceivedAt: 2}, {Member: other, ReceivedAt: 1}}
	if difference := cmp.Diff(want, tracker.Joins()); difference != "" {
		t.Errorf("join requests (-want +got):\n%s", difference)
	}
	tracker.ExpireJoins(joinTimeout + 2)
	if difference := cmp.Diff(want[:1], tracker.Joins()); difference != "" {
		t.Errorf("join requests after the first has expired (-want +got):\n%s", difference)
	}
	tracker.ExpireJoins(joinTimeout + 3)
	if tracker.HasJoins() {
		t.Errorf("join requests remain although all have expired: %v", tracker.Joins())
	}
}

func TestTrackerObservesMembersOnce(t *testing.T) {
	of := func(ids ...consensus.ID) consensus.Membership {
		var observed consensus.Membership
		for _, id := range ids {
			observed.Members = append(observed.Members, consensus.Member{ID: id})
		}
		return observed
	}
	tracker := NewTracker()
	tracker.Observe(1, of("a", "b"))
	tracker.Observe(2, of("a", "c"))
	tracker.Observe(3, of("a", "b", "c"))
	want := map[consensus.ID]time.Duration{"a": 1, "b": 3, "c": 2}
	if difference := cmp.Diff(want, tracker.FirstSeen()); difference != "" {
		t.Errorf("times at which members were first seen (-want +got):\n%s", difference)
	}
}

func TestSuccessorIsTheVoterWithTheLongestLog(t *testing.T) {
	members := []consensus.Member{{ID: "self"}, {ID: "behind"}, {ID: "ahead"}, {ID: "learner", Learner: true}}
	match := map[consensus.ID]uint64{"self": 9, "behind": 3, "ahead": 7, "learner": 9}
	status := consensus.Status{ID: "self", Match: match, Membership: consensus.Membership{Members: members}}
	if got := Successor(status); got != "ahead" {
		t.Errorf("the successor is %q, want ahead", got)
	}
	status.Membership.Members = members[:1]
	if got := Successor(status); got != consensus.None {
		t.Errorf("the only voter has successor %q, want none", got)
	}
}
