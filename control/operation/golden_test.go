package operation

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/control/internal/golden"
	"github.com/deckpulley/deckpulley/peer"
)

// TestGoldenOperationDigests checks the digests that are stored with the results of
// operations: stored digests must remain valid.
func TestGoldenOperationDigests(t *testing.T) {
	cases := []struct {
		name  string
		parts []any
	}{
		{name: "configuration", parts: []any{"configuration", uint64(7), "document"}},
		{name: "configuration-change", parts: []any{"configuration change", uint64(7), "change"}},
		{name: "evacuation", parts: []any{"evacuation", "zone-1", false}},
		{name: "route-map", parts: []any{"routemap", uint64(7), "text"}},
		{name: "route-map-change", parts: []any{"routemap change", uint64(7), "text"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			golden.Compare(t, "digest-"+c.name, encode(t, digestOf(c.parts...)))
		})
	}
}

// TestGoldenEvacuationDigest checks the digest that New computes for a request.
func TestGoldenEvacuationDigest(t *testing.T) {
	checked, problem := New(peer.OperationRequest{Evacuation: &api.EvacuationOperation{OperationID: "operation-1", Zone: "zone-1", Author: "operator-1"}})
	if problem != nil {
		t.Fatal(problem)
	}
	golden.Compare(t, "digest-evacuation", encode(t, checked.Digest()))
}

func encode(t *testing.T, digest uint64) []byte {
	t.Helper()
	encoded, err := cbor.Marshal(digest)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// TestGoldenRouteMapID checks the id under which the result of an operation on the route
// map is stored.
func TestGoldenRouteMapID(t *testing.T) {
	id := routeMapID(&peer.RouteMapOperation{BaseVersion: 7, Text: "text"})
	golden.Compare(t, "identity-route-map", []byte(id))
}
