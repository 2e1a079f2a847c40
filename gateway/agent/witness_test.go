package agent

import (
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

// TestWitnessVotesOnceInAnEpoch guards against a witness that lets both of two voters go on
// alone, and against one that votes while a primary grants its renewals.
func TestWitnessVotesOnceInAnEpoch(t *testing.T) {
	a := newFollower(t, newTable(t).TransferSince(0))
	a.options.Gateway.Incarnation = "i"
	now := time.Duration(0)
	a.options.Clock = func() time.Duration { return now }
	request := peer.WitnessVote{Cluster: "c", Epoch: 5, Candidate: "x", Incarnation: "i"}
	other := request
	other.Candidate = "y"
	later := other
	later.Epoch = 6
	restarted := request
	restarted.Epoch, restarted.Incarnation = 7, "j"
	foreign := request
	foreign.Epoch, foreign.Cluster = 7, "d"
	steps := []struct {
		name    string
		at      time.Duration
		request peer.WitnessVote
		granted bool
	}{
		{"a renewal was granted lately", searchAfter / 2, request, false},
		{"first candidate of an epoch", 2 * searchAfter, request, true},
		{"other candidate of the epoch", 2 * searchAfter, other, false},
		{"same candidate again", 2 * searchAfter, request, true},
		{"first candidate of a later epoch", 2 * searchAfter, later, true},
		{"candidate of an earlier epoch", 2 * searchAfter, request, false},
		{"another incarnation is the witness", 2 * searchAfter, restarted, false},
		{"another cluster", 2 * searchAfter, foreign, false},
	}
	for _, step := range steps {
		now = step.at
		if granted := a.vote(&step.request); granted != step.granted {
			t.Errorf("%s: granted is %t, want %t", step.name, granted, step.granted)
		}
	}
}
