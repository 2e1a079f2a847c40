package suite

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/deckpulley/deckpulley/internal/fleet"
	"github.com/deckpulley/deckpulley/internal/report"
	"github.com/deckpulley/deckpulley/internal/scenario"
)

// Times of the steps of the ordinary path, as fractions of its length.
const (
	configureAt  = 0.2
	evacuateAt   = 0.4
	ordinaryTail = 0.2
	withdrawAt   = 1 - ordinaryTail
)

// ordinaryPath returns a scenario without faults: under load for the given length, it changes
// the configuration, evacuates a zone and withdraws the evacuation.
func ordinaryPath(deployment fleet.Deployment, length time.Duration) *scenario.Scenario {
	zone := deployment.SpareZone()
	at := func(fraction float64) *scenario.Duration {
		moment := scenario.Duration(float64(length) * fraction)
		return &moment
	}
	return &scenario.Scenario{
		Name:  "ordinary",
		About: "The ordinary path under load, with a configuration, an evacuation and its withdrawal.",
		Load:  1,
		Steps: []scenario.Step{
			{At: at(configureAt), Do: scenario.Configure},
			{At: at(evacuateAt), Do: scenario.Evacuate, Target: zone},
			{At: at(withdrawAt), Do: scenario.Withdraw, Target: zone},
		},
		Tail: *at(ordinaryTail),
	}
}

// RunOrdinary runs the ordinary path for the given length under load and writes the summary, the
// verdicts and the path of the report. It returns ErrBroken if a promise was broken, a step
// failed, or the success ratio of requests was less than leastSuccess, 0 to 1.
func RunOrdinary(ctx context.Context, out io.Writer, config Config, length time.Duration, leastSuccess float64) error {
	result, _, err := config.start(ctx, run{scenario: ordinaryPath(config.Deployment, length), folder: "run"})
	if err != nil {
		return err
	}
	summary := report.Summarize(result.Events)
	if err := writeOrdinary(out, result, summary); err != nil {
		return err
	}
	page, err := writePage(result, summary)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "report %s\n", page)
	if !result.Good() || summary.SuccessRatio() < leastSuccess {
		return fmt.Errorf("%w: %.2f%% of requests succeeded, want %.2f%%; any promise broken: %v; problems: %d",
			ErrBroken, 100*summary.SuccessRatio(), 100*leastSuccess, result.Report.Broken(), len(result.Problems))
	}
	return nil
}

func writeOrdinary(out io.Writer, result *scenario.Result, summary *report.Summary) error {
	if err := report.WriteSummary(out, summary); err != nil {
		return err
	}
	if err := writeUsage(out, result.Usage); err != nil {
		return err
	}
	return report.WriteVerdicts(out, result.Report, nil)
}

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// writeUsage writes a table of resource usage with one row per node.
func writeUsage(out io.Writer, usage []scenario.NodeUsage) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "node\tresident MiB\tCPU\tread KiB/s\twritten KiB/s")
	for _, node := range usage {
		length := node.Since.Seconds()
		fmt.Fprintf(table, "  %s\t%.1f\t%.1f%%\t%.1f\t%.1f\n", node.Name, float64(node.Usage.Resident)/mebibyte,
			100*node.Usage.CPU.Seconds()/length, float64(node.Usage.Read)/kibibyte/length, float64(node.Usage.Written)/kibibyte/length)
	}
	return table.Flush()
}
