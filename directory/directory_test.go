package directory

import (
	"slices"
	"strings"
	"testing"

	"github.com/deckpulley/deckpulley/catalog"
)

func testGateways() map[string]catalog.Gateway {
	return map[string]catalog.Gateway{
		"a1": {Region: "a", HTTPAddress: "a1:1", Up: true},
		"a2": {Region: "a", HTTPAddress: "a2:1", Up: true},
		"a3": {Region: "a", HTTPAddress: "a3:1"},
		"b1": {Region: "b", HTTPAddress: "b1:1", Up: true},
		"c1": {Region: "c", HTTPAddress: "c1:1"},
	}
}

func TestAnswer(t *testing.T) {
	tests := map[string]struct {
		query Query
		want  string
	}{
		"gateways up in the region":                       {Query{Region: "a", Limit: 9, Node: "b1"}, "a1:1 a2:1"},
		"no gateway up in the region":                     {Query{Region: "c", Limit: 9, Node: "a1"}, "a1:1 a2:1 b1:1"},
		"unknown region":                                  {Query{Region: "x", Limit: 9, Node: "a1"}, "a1:1 a2:1 b1:1"},
		"node is draining":                                {Query{Region: "a", Limit: 9, Node: "a1", Draining: true}, "a2:1"},
		"node is draining, only gateway up in the region": {Query{Region: "b", Limit: 9, Node: "b1", Draining: true}, "a1:1 a2:1"},
		"node is partitioned":                             {Query{Region: "b", Limit: 9, Node: "b1", Partitioned: true}, "a1:1 a2:1 b1:1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := test.query.Answer(testGateways())
			slices.Sort(got)
			if joined := strings.Join(got, " "); joined != test.want {
				t.Errorf("got %q, want %q", joined, test.want)
			}
		})
	}
}

func TestAnswerLimit(t *testing.T) {
	query := Query{Region: "a", Limit: 1, Node: "b1"}
	if got := query.Answer(testGateways()); len(got) != 1 {
		t.Errorf("got %v, want one address", got)
	}
	if got := query.Answer(nil); len(got) != 0 {
		t.Errorf("without gateways: got %v, want no address", got)
	}
}
