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
		want    []consensus.Member // nil: no step
		done    bool
		pending bool // a membership change is not committed
	}{
		{name: "a whole group is left alone", members: all, contact: fresh, match: caughtUp, done: true},
		{name: "a change on its way is no repair done", members: all, contact: fresh, match: caughtUp, pending: true},
		{name: "a voter behind is no repair done", members: all, contact: fresh, match: map[consensus.ID]uint64{"a": 900, "b": 900, "c": 899}},
		{name: "a silent voter is no repair done", members: all, contact: lost, match: caughtUp},
		{name: "two voters are no repair done", members: []consensus.Member{a, b}, contact: fresh, match: caughtUp},
		{name: "a wiped disk at its address comes as a learner", members: all, contact: lost, match: caughtUp, joins: asks(wiped), want: []consensus.Member{a, b, c, learner(wiped)}},
		{name: "an older disk's late request is ignored", members: all, contact: fresh, match: caughtUp, joins: []JoinRequest{{Member: wiped, ReceivedAt: now - 1}}, done: true},
		{name: "another address waits for the voter of its zone to be long gone", members: all, contact: lost, match: caughtUp, joins: asks(moved)},
		{name: "another address replaces the voter of its zone", members: all, contact: longLost, match: caughtUp, joins: asks(moved), want: []consensus.Member{a, b, c, learner(moved)}},
		{name: "a stranger to a whole group is not taken", members: all, contact: fresh, match: caughtUp, joins: asks(moved), done: true},
		{name: "a learner behind waits", members: []consensus.Member{a, b, c, learner(wiped)}, contact: with(lost, "c2"), match: behind, joins: asks(wiped)},
		{name: "a learner that caught up ousts the old voter", members: []consensus.Member{a, b, c, learner(wiped)}, contact: with(lost, "c2"), match: caughtUp, joins: asks(wiped), want: []consensus.Member{a, b, learner(wiped)}},
		{name: "then it votes", members: []consensus.Member{a, b, learner(wiped)}, contact: with(fresh, "c2"), match: caughtUp, want: []consensus.Member{a, b, wiped}},
		{name: "a learner never ousts a voter that answers, and goes itself", members: []consensus.Member{a, b, c, learner(moved)}, contact: with(fresh, "d"), match: caughtUp, joins: asks(moved), want: all},
		{name: "a learner without a place makes way for another zone's", members: []consensus.Member{a, b, c, learner(moved)}, contact: map[consensus.ID]time.Duration{"b": now - 4*time.Second, "c": now, "d": now}, match: caughtUp, joins: append(asks(moved), asks(elsewhere)...), want: all},
		{name: "a learner waits while its zone's voter is silent", members: []consensus.Member{a, b, c, learner(moved)}, contact: with(lost, "d"), match: caughtUp, joins: asks(moved)},
		{name: "a silent learner goes", members: []consensus.Member{a, b, learner(wiped)}, contact: with(fresh, "b"), match: caughtUp, want: []consensus.Member{a, b}},
		{name: "a member with another address keeps its vote", members: all, contact: fresh, match: caughtUp, joins: asks(voter("b", "5", "y")), want: []consensus.Member{a, voter("b", "5", "y"), c}, done: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := Repair{
				Now:          now,
				Status:       consensus.Status{ID: "a", Commit: 900, MembershipCommitted: !c.pending, Match: c.match, LastContact: c.contact, Membership: consensus.Membership{Members: c.members}},
				Joins:        c.joins,
				Voters:       3,
				ReplaceAfter: 3 * time.Second,
			}
			next, _ := r.Next()
			if difference := cmp.Diff(c.want, next.Membership.Members); difference != "" {
				t.Errorf("next step %q (-want +got):\n%s", next.Reason, difference)
			}
			if got := r.Done(); got != c.done {
				t.Errorf("done is %t, want %t", got, c.done)
			}
		})
	}
}
