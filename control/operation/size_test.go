package operation

import (
	"strings"
	"testing"

	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/peer"
)

// TestTooLargeRouteMapNamesSizeAndLimit guards against a refusal that leaves the operator to
// guess by how much a document is too large.
func TestTooLargeRouteMapNamesSizeAndLimit(t *testing.T) {
	request := peer.RouteMapOperation{Text: strings.Repeat("x", configuration.MaxDocumentBytes+5)}
	problem := (&Operation{}).checkRouteMap(&request)
	if problem == nil || !strings.Contains(problem.Error(), "2097157 bytes, at most 2097152") {
		t.Errorf("got %v, want a refusal with the size and the limit", problem)
	}
}
