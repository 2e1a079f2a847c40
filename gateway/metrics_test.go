package gateway

import (
	"os"
	"regexp"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
)

var (
	registeredName = regexp.MustCompile(`fqName: "(deckpulley_[a-z_]+)"`)
	listedName     = regexp.MustCompile("(?m)^\\| `(deckpulley_gateway_[a-z_]+)`")
)

// TestMetricsPageListsWhatIsRegistered compares docs/METRICS.md with the metrics
// that a gateway registers, used or not.
func TestMetricsPageListsWhatIsRegistered(t *testing.T) {
	page, err := os.ReadFile("../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	var listed, registered []string
	for _, match := range listedName.FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, match[1])
	}
	gateway := newFleet(t).gateway("g1", "north", "a", nil)
	described := make(chan *prometheus.Desc)
	go func() {
		gateway.registry.Describe(described)
		close(described)
	}()
	for description := range described {
		if match := registeredName.FindStringSubmatch(description.String()); match != nil {
			registered = append(registered, match[1])
		}
	}
	slices.Sort(listed)
	slices.Sort(registered)
	if len(registered) == 0 {
		t.Fatal("no metric is registered")
	}
	if difference := cmp.Diff(registered, listed); difference != "" {
		t.Errorf("registered (-) and listed (+): %s", difference)
	}
}
