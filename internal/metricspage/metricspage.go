// Package metricspage compares the metrics listed in docs/METRICS.md with the
// descriptions of Prometheus collectors. Only tests use it.
package metricspage

import (
	"os"
	"regexp"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
)

// describedName matches the metric name in the text of a prometheus.Desc, which
// has no accessor for it.
var describedName = regexp.MustCompile(`fqName: "(deckpulley_[a-z_]+)"`)

// Compare fails the test unless the metrics with the prefix that the page lists
// are exactly the deckpulley metrics that the collector describes, whether or not
// they have samples. The page is the path of the Markdown file.
func Compare(t *testing.T, page, prefix string, collector prometheus.Collector) {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	listed := listedNames(string(text), prefix)
	described := describedNames(collector)
	if len(described) == 0 {
		t.Fatal("the collector describes no deckpulley metric")
	}
	if difference := cmp.Diff(described, listed); difference != "" {
		t.Errorf("metrics described by the collector (-) differ from those listed on the page (+): %s", difference)
	}
}

// listedNames returns the sorted names with the prefix in the first column of
// the page's tables.
func listedNames(page, prefix string) []string {
	pattern := regexp.MustCompile("(?m)^\\| `(" + prefix + "[a-z_]+)`")
	var names []string
	for _, match := range pattern.FindAllStringSubmatch(page, -1) {
		names = append(names, match[1])
	}
	slices.Sort(names)
	return names
}

// describedNames returns the sorted names of the deckpulley metrics that the
// collector describes.
func describedNames(collector prometheus.Collector) []string {
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
