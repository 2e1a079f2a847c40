package httpgateway

import (
	"slices"
	"strings"
	"testing"

	"github.com/deckpulley/deckpulley/places"
)

func TestWhere(t *testing.T) {
	gateways := map[string]places.Gateway{
		"a1": {Region: "a", HTTPAddress: "a1:1", Up: true},
		"a2": {Region: "a", HTTPAddress: "a2:1", Up: true},
		"a3": {Region: "a", HTTPAddress: "a3:1"},
		"b1": {Region: "b", HTTPAddress: "b1:1", Up: true},
		"c1": {Region: "c", HTTPAddress: "c1:1"},
	}
	tests := map[string]struct {
		question question
		want     string
	}{
		"own region":                     {question{region: "a", limit: 9, own: "b1"}, "a1:1 a2:1"},
		"nobody up there":                {question{region: "c", limit: 9, own: "a1"}, "a1:1 a2:1 b1:1"},
		"unknown region":                 {question{region: "x", limit: 9, own: "a1"}, "a1:1 a2:1 b1:1"},
		"asked while leaving":            {question{region: "a", limit: 9, own: "a1", leaving: true}, "a2:1"},
		"the last one of its region":     {question{region: "b", limit: 9, own: "b1", leaving: true}, "a1:1 a2:1"},
		"cut off, the others may not be": {question{region: "b", limit: 9, own: "b1", cutOff: true}, "a1:1 a2:1 b1:1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := test.question.answer(gateways)
			slices.Sort(got)
			if joined := strings.Join(got, " "); joined != test.want {
				t.Errorf("got %q, want %q", joined, test.want)
			}
		})
	}
	limited := question{region: "a", limit: 1, own: "b1"}
	if got := limited.answer(gateways); len(got) != 1 {
		t.Errorf("got %v, want one", got)
	}
	if got := limited.answer(nil); len(got) != 0 {
		t.Errorf("got %v of no gateways", got)
	}
}
