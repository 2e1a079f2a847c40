package membership

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/deckpulley/deckpulley/consensus"
)

func TestRepairTakesOneStepAtATime(t *testing.T) {
	voter := func(id, address, zone string) consensus.Member {
		return consensus.Member{ID: consensus.ID(id), Name: "name-" + address, Address: address, Zone: zone}
	}
	learner := func(member consensus.Member) consensus.Member {
		member.Learner = true
		return member
	}
	const now = 100 * time.Second
	a, b, c := voter("a", "1", "x"), voter("b", "2", "y"), voter("c", "3", "z")
	wiped := voter("c2", "3", "z")
	moved := voter("d", "4", "z")
	elsewhere := voter("e", "6", "y")
	all := []consensus.Member{a, b, c}
	fresh := map[consensus.ID]time.Duration{"b": now, "c": now}
	lost := map[consensus.ID]time.Duration{"b": now, "c": now - 2*time.Second}
	longLost := map[consensus.ID]time.Duration{"b": now, "c": now - 3*time.Second}
	caughtUp := map[consensus.ID]uint64{"a": 900, "b": 900, "c": 900, "c2": 900, "d": 900}
	behind := map[consensus.ID]uint64{"a": 900, "b": 900, "c": 900, "c2": 900 - catchUpDistance - 1}
	with := func(contact map[consensus.ID]time.Duration, id consensus.ID) map[consensus.ID]time.Duration {
		extended := map[consensus.ID]time.Duration{id: now}
		for other, at := range contact {
			extended[other] = at
		}
		return extended
	}
	asks := func(member consensus.Member) []JoinRequest {
		return []JoinRequest{{Member: member, ReceivedAt: now}}
	}
	cases := []struct {
		name    string
		members []consensus.Member
		contact map[consensus.ID]time.Duration
		match   map[consensus.ID]uint64
		joins   []JoinRequest
		want    []consensus.Member // nil: no change
		done    bool
		pending bool // a membership change is not committed
	}{
		{name: "complete group is not changed", members: all, contact: fresh, match: caughtUp, done: true},
		{name: "uncommitted change: repair is not done", members: all, contact: fresh, match: caughtUp, pending: true},
		{name: "voter behind: repair is not done", members: all, contact: fresh, match: map[consensus.ID]uint64{"a": 900, "b": 900, "c": 899}},
		{name: "unreachable voter: repair is not done", members: all, contact: lost, match: caughtUp},
		{name: "too few voters: repair is not done", members: []consensus.Member{a, b}, contact: fresh, match: caughtUp},
		{name: "new disk at a voter's address is added as a learner", members: all, contact: lost, match: caughtUp, joins: asks(wiped), want: []consensus.Member{a, b, c, learner(wiped)}},
		{name: "request from before the voter's last response is ignored", members: all, contact: fresh, match: caughtUp, joins: []JoinRequest{{Member: wiped, ReceivedAt: now - 1}}, done: true},
		{name: "node at another address waits until the voter of its zone is unreachable for ReplaceAfter", members: all, contact: lost, match: caughtUp, joins: asks(moved)},
		{name: "node at another address is added for the unreachable voter of its zone", members: all, contact: longLost, match: caughtUp, joins: asks(moved), want: []consensus.Member{a, b, c, learner(moved)}},
		{name: "complete group admits no other node", members: all, contact: fresh, match: caughtUp, joins: asks(moved), done: true},
		{name: "learner that is behind is not promoted", members: []consensus.Member{a, b, c, learner(wiped)}, contact: with(lost, "c2"), match: behind, joins: asks(wiped)},
		{name: "replaced voter is removed once the learner has caught up", members: []consensus.Member{a, b, c, learner(wiped)}, contact: with(lost, "c2"), match: caughtUp, joins: asks(wiped), want: []consensus.Member{a, b, learner(wiped)}},
		{name: "learner is promoted after the removal of the replaced voter", members: []consensus.Member{a, b, learner(wiped)}, contact: with(fresh, "c2"), match: caughtUp, want: []consensus.Member{a, b, wiped}},
		{name: "learner is removed when the voter it would replace is reachable", members: []consensus.Member{a, b, c, learner(moved)}, contact: with(fresh, "d"), match: caughtUp, joins: asks(moved), want: all},
		{name: "unneeded learner is removed, because it blocks the admission of a node for the unreachable voter of another zone", members: []consensus.Member{a, b, c, learner(moved)}, contact: map[consensus.ID]time.Duration{"b": now - 4*time.Second, "c": now, "d": now}, match: caughtUp, joins: append(asks(moved), asks(elsewhere)...), want: all},
		{name: "learner is retained while the voter of its zone is briefly unreachable", members: []consensus.Member{a, b, c, learner(moved)}, contact: with(lost, "d"), match: caughtUp, joins: asks(moved)},
		{name: "unresponsive learner is removed", members: []consensus.Member{a, b, learner(wiped)}, contact: with(fresh, "b"), match: caughtUp, want: []consensus.Member{a, b}},
		{name: "member with a new address remains a voter", members: all, contact: fresh, match: caughtUp, joins: asks(voter("b", "5", "y")), want: []consensus.Member{a, voter("b", "5", "y"), c}, done: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := Repair{
				Now:          now,
				Status:       consensus.Status{ID: "a", Commit: 900, MembershipCommitted: !c.pending, Match: c.match, LastResponses: c.contact, Membership: consensus.Membership{Members: c.members}},
				Joins:        c.joins,
				Voters:       3,
				ReplaceAfter: 3 * time.Second,
			}
			next, _ := r.Next()
			if difference := cmp.Diff(c.want, next.Membership.Members); difference != "" {
				t.Errorf("members after the next change %q (-want +got):\n%s", next.Reason, difference)
			}
			if got := r.Done(); got != c.done {
				t.Errorf("Done returned %t, want %t", got, c.done)
			}
		})
	}
}
