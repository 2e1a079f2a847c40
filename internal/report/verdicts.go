package report

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// WriteVerdicts writes a table with one row per promise, and the violations below it.
// The map scenarios lists the scenarios that examined each promise; if it is nil, the
// column is omitted.
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

// boundText returns the table cells with the worst and the allowed value of a promise.
func boundText(verdict checker.Verdict) (worst, allowed string) {
	if verdict.Bound == nil {
		return "-", "0 violations"
	}
	return fmt.Sprintf("%.4g", verdict.Bound.Worst), fmt.Sprintf("%.4g %s", verdict.Bound.Allowed, verdict.Bound.Unit)
}

// printedViolations is the maximum number of violations printed per promise.
const printedViolations = 3

func writeViolations(out io.Writer, report checker.Report) {
	for _, verdict := range report.Verdicts {
		for i, violation := range verdict.Violations {
			if i == printedViolations {
				fmt.Fprintf(out, "%s: %d more\n", verdict.Promise, len(verdict.Violations)-i)
				break
			}
			fmt.Fprintf(out, "%s: %s\n", verdict.Promise, violation.Summary)
			for _, event := range violation.Evidence {
				fmt.Fprintf(out, "    %s\n", logLine(event))
			}
		}
	}
}

// logLine returns an event in the JSON form of its log.
func logLine(event eventlog.Event) string {
	text, err := json.Marshal(event)
	if err != nil {
		return fmt.Sprintf("%+v", event)
	}
	return string(text)
}
