package report

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// printedQuantiles are the printed latency quantiles, in percent.
var printedQuantiles = []float64{50, 90, 99, 100}

// WriteSummary writes the figures of a run as text tables.
func WriteSummary(out io.Writer, s *Summary) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	writeRequests(table, s)
	writeLatency(table, s)
	writePlacements(table, s)
	writeOperations(table, s)
	return table.Flush()
}

func sortedKeys[Value any](values map[string]Value) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func writeRequests(out io.Writer, s *Summary) {
	counts := map[string]map[string]int{} // by class and region
	regions := map[string]bool{}
	for _, request := range s.Requests {
		if counts[request.Class] == nil {
			counts[request.Class] = map[string]int{}
		}
		counts[request.Class][request.Region]++
		regions[request.Region] = true
	}
	columns := sortedKeys(regions)
	length := max(1, time.Duration(s.End-s.Start).Seconds())
	fmt.Fprintf(out, "requests by class and the caller's region (%.1f/s)\t%s\ttotal\n", float64(len(s.Requests))/length, strings.Join(columns, "\t"))
	for _, class := range sortedKeys(counts) {
		fmt.Fprintf(out, "  %s", class)
		total := 0
		for _, region := range columns {
			fmt.Fprintf(out, "\t%d", counts[class][region])
			total += counts[class][region]
		}
		fmt.Fprintf(out, "\t%d\n", total)
	}
	writeOutcomes(out, s)
}

func writeOutcomes(out io.Writer, s *Summary) {
	fmt.Fprintf(out, "outcomes (%.2f%% succeeded)\n", 100*s.SuccessRatio())
	for _, outcome := range sortedKeys(s.Outcomes) {
		fmt.Fprintf(out, "  %s\t%d\n", outcome, s.Outcomes[outcome])
	}
	for _, code := range sortedKeys(s.Codes) {
		fmt.Fprintf(out, "    %s\t%d\n", code, s.Codes[code])
	}
}

func writeLatency(out io.Writer, s *Summary) {
	fmt.Fprintf(out, "latency in ms\tp50\tp90\tp99\tmax\tcount\n")
	for _, class := range sortedKeys(s.Latency) {
		latency := s.Latency[class]
		if latency.FirstToken.TotalCount() > 0 {
			writeHistogram(out, class+" first token", latency.FirstToken)
		}
		writeHistogram(out, class+" whole", latency.Elapsed)
		if latency.InterToken.TotalCount() > 0 {
			writeHistogram(out, class+" between tokens", latency.InterToken)
		}
	}
}

// microsPerMilli converts the histograms' microseconds to the printed milliseconds.
const microsPerMilli = 1000

func writeHistogram(out io.Writer, name string, histogram *hdrhistogram.Histogram) {
	fmt.Fprintf(out, "  %s", name)
	for _, quantile := range printedQuantiles {
		fmt.Fprintf(out, "\t%.1f", float64(histogram.ValueAtQuantile(quantile))/microsPerMilli)
	}
	fmt.Fprintf(out, "\t%d\n", histogram.TotalCount())
}

func writePlacements(out io.Writer, s *Summary) {
	fmt.Fprintf(out, "placements by region\n")
	for _, region := range sortedKeys(s.Placements) {
		fmt.Fprintf(out, "  %s\t%d\t%.1f%%\n", region, s.Placements[region], percent(s.Placements[region], s.Executed))
	}
	fmt.Fprintf(out, "prefix hit rate\t%.1f%%\tof %d prompt tokens\n", percent(s.CachedTokens, s.PromptTokens), s.PromptTokens)
	fmt.Fprintf(out, "ran outside the caller's region\t%d\t%.1f%%\n", s.CrossRegion, percent(s.CrossRegion, s.Executed))
	fmt.Fprintf(out, "further attempts\t%d\t%.2f%% of %d first ones\n", s.Retries, percent(s.Retries, s.FirstAttempts), s.FirstAttempts)
	var versions []string
	for version := range s.Versions {
		versions = append(versions, fmt.Sprintf("%d (%d)", version, s.Versions[version]))
	}
	sort.Strings(versions)
	fmt.Fprintf(out, "configuration versions seen\t%s\n", strings.Join(versions, ", "))
}

// percent returns count as a percentage of total, or 0 if total is 0.
func percent(count, total int) float64 {
	if total == 0 {
		return 0
	}
	return 100 * float64(count) / float64(total)
}

func writeOperations(out io.Writer, s *Summary) {
	fmt.Fprintf(out, "orders, seconds from sending\tacknowledged\tlast request without it\tfirst request back\n")
	for _, operation := range s.Operations {
		name := fmt.Sprintf("%s, version %d", operation.Detail, operation.Version)
		if operation.Zone != "" {
			name = operation.Detail + " " + operation.Zone
		}
		returned := "-"
		if operation.FirstReturned > 0 {
			returned = fmt.Sprintf("%.3f", operation.FirstReturned.Seconds())
		}
		fmt.Fprintf(out, "  %s\t%.3f\t%.3f\t%s\n", name, operation.Acknowledged.Seconds(), operation.LastWithout.Seconds(), returned)
	}
}
