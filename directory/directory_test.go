package directory

import (
	"slices"
	"strings"
	"testing"

	"github.com/deckpulley/deckpulley/catalog"
)

func TestAnswer(t *testing.T) {
	gateways := map[string]catalog.Gateway{
		"a1": {Region: "a", HTTPAddress: "a1:1", Up: true},
		"a2": {Region: "a", HTTPAddress: "a2:1", Up: true},
		"a3": {Region: "a", HTTPAddress: "a3:1"},
		"b1": {Region: "b", HTTPAddress: "b1:1", Up: true},
		"c1": {Region: "c", HTTPAddress: "c1:1"},
	}
	tests := map[string]struct {
		question Question
		want     string
	}{
		"own region":                     {Question{Region: "a", Limit: 9, Asked: "b1"}, "a1:1 a2:1"},
		"nobody up there":                {Question{Region: "c", Limit: 9, Asked: "a1"}, "a1:1 a2:1 b1:1"},
		"unknown region":                 {Question{Region: "x", Limit: 9, Asked: "a1"}, "a1:1 a2:1 b1:1"},
		"asked while leaving":            {Question{Region: "a", Limit: 9, Asked: "a1", Leaving: true}, "a2:1"},
		"the last one of its region":     {Question{Region: "b", Limit: 9, Asked: "b1", Leaving: true}, "a1:1 a2:1"},
		"cut off, the others may not be": {Question{Region: "b", Limit: 9, Asked: "b1", CutOff: true}, "a1:1 a2:1 b1:1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := test.question.Answer(gateways)
			slices.Sort(got)
			if joined := strings.Join(got, " "); joined != test.want {
				t.Errorf("got %q, want %q", joined, test.want)
			}
		})
	}
	limited := Question{Region: "a", Limit: 1, Asked: "b1"}
	if got := limited.Answer(gateways); len(got) != 1 {
		t.Errorf("got %v, want one", got)
	}
	if got := limited.Answer(nil); len(got) != 0 {
		t.Errorf("got %v of no gateways", got)
	}
}
