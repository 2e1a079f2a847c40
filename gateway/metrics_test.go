package gateway

import (
	"os"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/deckpulley/deckpulley/internal/metricspage"
)

// TestMetricsPage compares docs/METRICS.md with the metrics that a gateway serves.
func TestMetricsPage(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.ready(g)
	g.metrics.createAllSeries()
	families, err := g.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	served := 0
	for _, family := range families {
		name := family.GetName()
		if !strings.HasPrefix(name, metricsNamespace) {
			continue
		}
		served++
		if !strings.Contains(string(page), "| `"+name+"` |") {
			t.Errorf("%s is not on the page", name)
		}
	}
	if listed := strings.Count(string(page), "| `"+metricsNamespace); listed != served {
		t.Errorf("the page lists %d metrics, %d are served", listed, served)
	}
}

// createAllSeries creates a series of every family, since empty families are not
// served.
func (m *metrics) createAllSeries() {
	for _, vector := range []*prometheus.CounterVec{m.requests, m.where, m.failures, m.retries, m.spills, m.tickets, m.polls, m.updates} {
		vector.WithLabelValues(make([]string, labelCount(vector))...)
	}
	m.latency.WithLabelValues("")
	m.firstEvent.WithLabelValues("")
}

// labelCount returns the number of labels of a vector.
func labelCount(vector *prometheus.CounterVec) int {
	for count := range 5 {
		if _, err := vector.GetMetricWithLabelValues(make([]string, count)...); err == nil {
			return count
		}
	}
	return 0
}

func TestMetricsPageListsWhatIsRegistered(t *testing.T) {
	gateway := newFleet(t).gateway("g1", "north", "a", nil)
	metricspage.Compare(t, "../docs/METRICS.md", "deckpulley_gateway_", gateway.registry)
}
