package gateway

import (
	"testing"

	"github.com/deckpulley/deckpulley/internal/metricspage"
)

func TestMetricsPageListsWhatIsRegistered(t *testing.T) {
	gateway := newFleet(t).gateway("g1", "north", "a", nil)
	metricspage.Compare(t, "../docs/METRICS.md", "deckpulley_gateway_", gateway.registry)
}
