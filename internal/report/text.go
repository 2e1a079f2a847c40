package report

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/deckpulley/deckpulley/internal/checker"
)

// Quantiles that are printed, in percent.
var quantiles = []float64{50, 90, 99, 100}

// WriteSummary prints the figures of a run.
func WriteSummary(out io.Writer, s *Summary) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	writeRequests(table, s)
	writeLatency(table, s)
	writePlacement(table, s)
	writeOrders(table, s)
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
	counts := map[string]map[string]int{}
	regions := map[string]bool{}
	for _, of := range s.Requests {
		if counts[of.Class] == nil {
			counts[of.Class] = map[string]int{}
		}
		counts[of.Class][of.Region]++
		regions[of.Region] = true
	}
	names := sortedKeys(regions)
	length := max(1, time.Duration(s.End-s.Start).Seconds())
	fmt.Fprintf(out, "requests by class and the caller's region (%.1f/s)\t%s\ttotal\n", float64(len(s.Requests))/length, strings.Join(names, "\t"))
	for _, class := range sortedKeys(counts) {
		fmt.Fprintf(out, "  %s", class)
		total := 0
		for _, region := range names {
			fmt.Fprintf(out, "\t%d", counts[class][region])
			total += counts[class][region]
		}
		fmt.Fprintf(out, "\t%d\n", total)
	}
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
		of := s.Latency[class]
		if of.FirstToken.TotalCount() > 0 {
			writeHistogram(out, class+" first token", of.FirstToken)
		}
		writeHistogram(out, class+" whole", of.Elapsed)
		if of.Between.TotalCount() > 0 {
			writeHistogram(out, class+" between tokens", of.Between)
		}
	}
}

func writeHistogram(out io.Writer, name string, histogram *hdrhistogram.Histogram) {
	fmt.Fprintf(out, "  %s", name)
	for _, quantile := range quantiles {
		fmt.Fprintf(out, "\t%.1f", float64(histogram.ValueAtQuantile(quantile))/1000)
	}
	fmt.Fprintf(out, "\t%d\n", histogram.TotalCount())
}

func writePlacement(out io.Writer, s *Summary) {
	fmt.Fprintf(out, "placements by region\n")
	for _, region := range sortedKeys(s.Placements) {
		fmt.Fprintf(out, "  %s\t%d\t%.1f%%\n", region, s.Placements[region], percent(s.Placements[region], s.Executed))
	}
	fmt.Fprintf(out, "prefix hit rate\t%.1f%%\tof %d prompt tokens\n", percent(s.CachedTokens, s.PromptTokens), s.PromptTokens)
	fmt.Fprintf(out, "ran outside the caller's region\t%d\t%.1f%%\n", s.Spilled, percent(s.Spilled, s.Executed))
	fmt.Fprintf(out, "further attempts\t%d\t%.2f%% of %d first ones\n", s.Further, percent(s.Further, s.First), s.First)
	var versions []string
	for version := range s.Versions {
		versions = append(versions, fmt.Sprintf("%d (%d)", version, s.Versions[version]))
	}
	sort.Strings(versions)
	fmt.Fprintf(out, "configuration versions seen\t%s\n", strings.Join(versions, ", "))
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

func writeOrders(out io.Writer, s *Summary) {
	fmt.Fprintf(out, "orders, seconds from sending\tacknowledged\tlast request without it\tfirst request back\n")
	for _, of := range s.InForce {
		name := fmt.Sprintf("%s, version %d", of.Detail, of.Version)
		if of.Zone != "" {
			name = of.Detail + " " + of.Zone
		}
		back := "-"
		if of.FirstBack > 0 {
			back = fmt.Sprintf("%.3f", of.FirstBack.Seconds())
		}
		fmt.Fprintf(out, "  %s\t%.3f\t%.3f\t%s\n", name, of.Acknowledged.Seconds(), of.LastOld.Seconds(), back)
	}
}

// WriteVerdicts prints one line for each promise, and the violations below.
// Scenarios names for each promise the runs that examined it; nil leaves it out.
func WriteVerdicts(out io.Writer, report checker.Report, scenarios map[checker.Promise][]string) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(table, "promise\t\tverdict\texamined\tviolations\tworst\tallowed")
	if scenarios != nil {
		fmt.Fprint(table, "\tscenarios")
	}
	fmt.Fprintln(table)
	for _, verdict := range report.Verdicts {
		worst, allowed := boundText(verdict)
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%s\t%s", verdict.Promise, verdict.Title, verdict.Status(), verdict.Examined, len(verdict.Violations), worst, allowed)
		if scenarios != nil {
			fmt.Fprintf(table, "\t%s", strings.Join(scenarios[verdict.Promise], " "))
		}
		fmt.Fprintln(table)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("writing verdicts: %w", err)
	}
	writeViolations(out, report)
	return nil
}

func boundText(verdict checker.Verdict) (worst, allowed string) {
	if verdict.Bound == nil {
		return "-", "0 violations"
	}
	return fmt.Sprintf("%.4g", verdict.Bound.Worst), fmt.Sprintf("%.4g %s", verdict.Bound.Allowed, verdict.Bound.Unit)
}

// violationsShown bounds the violations of one promise that are printed.
const violationsShown = 3

func writeViolations(out io.Writer, report checker.Report) {
	for _, verdict := range report.Verdicts {
		for i, violation := range verdict.Violations {
			if i == violationsShown {
				fmt.Fprintf(out, "%s: %d more\n", verdict.Promise, len(verdict.Violations)-i)
				break
			}
			fmt.Fprintf(out, "%s: %s\n", verdict.Promise, violation.Summary)
			for _, event := range violation.Evidence {
				fmt.Fprintf(out, "    %s\n", line(event))
			}
		}
	}
}
