package metrics

import (
	"testing"

	"github.com/deckpulley/deckpulley/internal/metricspage"
)

func TestMetricsPageListsWhatIsRegistered(t *testing.T) {
	metricspage.Compare(t, "../../docs/METRICS.md", "deckpulley_control_", New().Registry)
}
