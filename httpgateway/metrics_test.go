package httpgateway

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/dispatch"
	"github.com/deckpulley/deckpulley/internal/metricspage"
	"github.com/deckpulley/deckpulley/loadexchange"
)

// fixedMetrics is a metricsSource with constant values.
type fixedMetrics struct{}

func (fixedMetrics) Counts() dispatch.Counts {
	return dispatch.Counts{
		Served:         7,
		Attempts:       9,
		Retries:        2,
		Resumed:        1,
		Failed:         map[dispatch.Code]uint64{dispatch.CodeOverloaded: 3},
		FailedAttempts: map[dispatch.FailureReason]uint64{dispatch.FailureIndeterminate: 4},
	}
}

func (fixedMetrics) Replicas() []api.HTTPReplicaStatus {
	return []api.HTTPReplicaStatus{
		{ID: "a", Service: "s", State: api.HTTPReplicaUsable, Requests: 2},
		{ID: "b", Service: "s", State: api.HTTPReplicaUsable, Requests: 1},
		{ID: "c", Service: "s", State: api.HTTPReplicaEjected},
	}
}

func (fixedMetrics) RetryBudgets() map[string]dispatch.RetryBudget {
	return map[string]dispatch.RetryBudget{"s": {Ratio: 0.12, Used: 0.05}}
}

func (fixedMetrics) LoadExchangeStatus() loadexchange.Status {
	return loadexchange.Status{Aggregator: "gateway-1", SinceLastContact: 200 * time.Millisecond}
}

// TestCollector checks that the collector describes each metric that it exports and that
// docs/METRICS.md lists them all.
func TestCollector(t *testing.T) {
	collector := newCollector(fixedMetrics{})
	metricspage.Compare(t, "../docs/METRICS.md", "deckpulley_http_", collector)
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(collector)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	if len(families) != len(collector.descriptions()) {
		t.Errorf("gathered %d metric families, but %d are described", len(families), len(collector.descriptions()))
	}
	for _, family := range families {
		if family.GetName() == "deckpulley_http_replicas" && len(family.GetMetric()) != 2 {
			t.Errorf("replicas counted in %d states, want 2", len(family.GetMetric()))
		}
	}
}
