package gateway

import (
	"os"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/deckpulley/deckpulley/internal/metricspage"
)

// TestMetricsPage checks that docs/METRICS.md lists the metrics that a gateway serves, and
// no others.
func TestMetricsPage(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.awaitReady(g)
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
			t.Errorf("docs/METRICS.md does not list %s", name)
		}
	}
	if listed := strings.Count(string(page), "| `"+metricsNamespace); listed != served {
		t.Errorf("docs/METRICS.md lists %d metrics, the gateway serves %d", listed, served)
	}
}

// createAllSeries creates a series of each metric with labels, since Prometheus omits
// metrics without series.
func (m *metrics) createAllSeries() {
	for _, vector := range []*prometheus.CounterVec{m.requests, m.where, m.failures, m.retries, m.spills, m.tickets, m.polls, m.updates} {
		vector.WithLabelValues(make([]string, labelCount(vector))...)
	}
	m.latency.WithLabelValues("")
	m.firstEvent.WithLabelValues("")
}

// labelCount returns the number of labels of a counter vector.
func labelCount(vector *prometheus.CounterVec) int {
	for count := range 5 {
		if _, err := vector.GetMetricWithLabelValues(make([]string, count)...); err == nil {
			return count
		}
	}
	return 0
}

// TestMetricsPageListsWhatIsRegistered checks that docs/METRICS.md lists the metrics that
// the registered collectors describe, including those without series.
func TestMetricsPageListsWhatIsRegistered(t *testing.T) {
	gateway := newFleet(t).gateway("g1", "north", "a", nil)
	metricspage.Compare(t, "../docs/METRICS.md", "deckpulley_gateway_", gateway.registry)
}
