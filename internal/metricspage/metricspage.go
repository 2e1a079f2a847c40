// Package metricspage compares docs/METRICS.md with what collectors describe,
// for tests.
package metricspage

import (
	"os"
	"regexp"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
)

var describedName = regexp.MustCompile(`fqName: "(deckpulley_[a-z_]+)"`)

// Compare fails the test unless the page lists exactly the metrics with the
// prefix that the collector describes, used or not.
func Compare(t *testing.T, page, prefix string, collector prometheus.Collector) {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	listedName := regexp.MustCompile("(?m)^\\| `(" + prefix + "[a-z_]+)`")
	var listed []string
	for _, match := range listedName.FindAllStringSubmatch(string(text), -1) {
		listed = append(listed, match[1])
	}
	described := describe(collector)
	slices.Sort(listed)
	if len(described) == 0 {
		t.Fatal("no metric is described")
	}
	if difference := cmp.Diff(described, listed); difference != "" {
		t.Errorf("described (-) and listed (+): %s", difference)
	}
}

// describe returns the sorted names of our own metrics.
func describe(collector prometheus.Collector) []string {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		collector.Describe(descriptions)
		close(descriptions)
	}()
	var names []string
	for description := range descriptions {
		if match := describedName.FindStringSubmatch(description.String()); match != nil {
			names = append(names, match[1])
		}
	}
	slices.Sort(names)
	return names
}
