package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/deckpulley/deckpulley/consensus"
)

// TestWitnessesAreAppointedForTwoVoters checks when a group of three removes a voter that
// stays away, and when the witnesses of the other two are replaced.
func TestWitnessesAreAppointedForTwoVoters(t *testing.T) {
	const now = 100 * time.Second
	voter := func(id string) consensus.Member {
		return consensus.Member{ID: consensus.ID(id), Name: "name-" + id, Address: id, Zone: "zone-" + id}
	}
	witnesses := func(incarnation string, count int) []consensus.Witness {
		var all []consensus.Witness
		for i := range count {
			all = append(all, consensus.Witness{Name: fmt.Sprint("g", i), Incarnation: incarnation})
		}
		return all
	}
	a, b, c := voter("a"), voter("b"), voter("c")
	three := consensus.Membership{Members: []consensus.Member{a, b, c}}
	two := func(appointed []consensus.Witness) consensus.Membership {
		return consensus.Membership{Members: []consensus.Member{a, b}, Witnesses: appointed}
	}
	know := map[consensus.ID]bool{"a": true, "b": true, "c": true}
	lost := map[consensus.ID]time.Duration{"b": now, "c": now - 4*time.Second}
	five := witnesses("1", 5)
	copying := consensus.Member{ID: "d", Address: "d", Zone: "zone-c", Learner: true}
	cases := []struct {
		name     string
		current  consensus.Membership
		contact  map[consensus.ID]time.Duration
		know     map[consensus.ID]bool
		possible []consensus.Witness
		joins    []JoinRequest
		voters   int
		want     *consensus.Membership
	}{
		{name: "complete group", current: three, contact: map[consensus.ID]time.Duration{"b": now, "c": now}, know: know, possible: five, voters: 3},
		{name: "voter away for a short time", current: three, contact: map[consensus.ID]time.Duration{"b": now, "c": now - 2*time.Second}, know: know, possible: five, voters: 3},
		{name: "voter stays away", current: three, contact: lost, know: know, possible: five, voters: 3, want: &consensus.Membership{Members: []consensus.Member{a, b}, Witnesses: five}},
		{name: "voter stays away, too few gateways", current: three, contact: lost, know: know, possible: witnesses("1", 2), voters: 3},
		{name: "voter stays away, the other one is of an earlier release", current: three, contact: lost, know: map[consensus.ID]bool{"a": true}, possible: five, voters: 3},
		{name: "two voters stay away", current: three, contact: map[consensus.ID]time.Duration{"b": now - 4*time.Second, "c": now - 4*time.Second}, know: know, possible: five, voters: 3},
		{name: "group of five", current: three, contact: lost, know: know, possible: five, voters: 5},
		{
			name: "a node replaces the voter", current: three, contact: lost, know: know, possible: five, voters: 3, joins: []JoinRequest{{Member: consensus.Member{ID: "d", Address: "d", Zone: "zone-c"}, ReceivedAt: now}},
			want: &consensus.Membership{Members: []consensus.Member{a, b, c, {ID: "d", Address: "d", Zone: "zone-c", Learner: true}}},
		},
		{
			name: "the successor of the voter has not caught up", current: consensus.Membership{Members: []consensus.Member{a, b, c, copying}}, contact: map[consensus.ID]time.Duration{"b": now, "c": now - 4*time.Second, "d": now}, know: know, possible: five, voters: 3,
			want: &consensus.Membership{Members: []consensus.Member{a, b, copying}, Witnesses: five},
		},
		{name: "witnesses are running", current: two(five), contact: lost, know: know, possible: five, voters: 3},
		{name: "one witness has ended", current: two(five), contact: lost, know: know, possible: five[1:], voters: 3},
		{name: "witnesses have restarted", current: two(five), contact: lost, know: know, possible: witnesses("2", 5), voters: 3, want: ptr(two(witnesses("2", 5)))},
		{name: "two voters without witnesses", current: two(nil), contact: lost, know: know, possible: five, voters: 3, want: ptr(two(five))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := Repair{
				Now: now, Joins: c.joins, Voters: c.voters, ReplaceAfter: 3 * time.Second, Witnesses: c.possible,
				Status: consensus.Status{ID: "a", MembershipCommitted: true, Membership: c.current, LastResponses: c.contact, KnowWitnesses: c.know},
			}
			next, needed := r.Next()
			if needed != (c.want != nil) {
				t.Fatalf("change %q: needed is %t", next.Reason, needed)
			}
			if c.want == nil {
				return
			}
			if difference := cmp.Diff(*c.want, next.Membership); difference != "" {
				t.Errorf("change %q (-want +got):\n%s", next.Reason, difference)
			}
		})
	}
}

func ptr(membership consensus.Membership) *consensus.Membership { return &membership }

// TestChosenWitnessesAreBounded checks that a large fleet has few witnesses, from all of it.
func TestChosenWitnessesAreBounded(t *testing.T) {
	var r Repair
	for i := range 400 {
		r.Witnesses = append(r.Witnesses, consensus.Witness{Name: fmt.Sprintf("g%03d", i)})
	}
	chosen := r.chooseWitnesses()
	if len(chosen) != maxWitnesses || chosen[0].Name != "g000" || chosen[len(chosen)-1].Name < "g360" {
		t.Errorf("%d witnesses, from %s to %s", len(chosen), chosen[0].Name, chosen[len(chosen)-1].Name)
	}
}
