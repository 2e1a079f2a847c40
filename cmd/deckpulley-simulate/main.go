// Command deckpulley-simulate runs seeded simulations of the control plane in
// virtual time, with injected faults, and checks the invariants of each. With
// --planted it counts the simulations until each planted defect is detected.
//
// It is not part of a deployment. Exit status: 0 if every check passed, 1 after a
// violation or an undetected defect, 2 after a usage error.
package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/internal/defect"
	"github.com/deckpulley/deckpulley/internal/simulation"
)

const (
	defaultHistories = 2000
	defaultWorkers   = 4
	// detectionLimit is the number of histories after which a planted defect counts
	// as undetected, unless --seeds sets another limit.
	detectionLimit = 20000
)

// Exit statuses.
const (
	statusFailed = 1
	statusUsage  = 2
)

var (
	errViolations = errors.New("invariant violated")
	errUndetected = errors.New("planted defects not detected")
)

// options contains the command-line flags.
type options struct {
	seeds     int
	firstSeed uint64
	workers   int
	duration  time.Duration // virtual time; 0 for the default
	planted   bool
	only      string
}

// validate returns an error if the value of a flag is out of range.
func (o *options) validate() error {
	if o.seeds < 1 || o.workers < 1 || o.duration < 0 {
		return errors.New("--seeds and --workers must be positive, and --duration must not be negative")
	}
	return nil
}

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "deckpulley-simulate:", err)
		os.Exit(exitStatus(err))
	}
}

func newCommand() *cobra.Command {
	var flags options
	command := &cobra.Command{
		Use:           "deckpulley-simulate",
		Short:         "Simulate the control plane in virtual time and check its invariants",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := flags.validate(); err != nil {
				return err
			}
			if flags.planted {
				return detectDefects(command.OutOrStdout(), command.ErrOrStderr(), flags)
			}
			return simulate(command.OutOrStdout(), flags)
		},
	}
	set := command.Flags()
	set.IntVar(&flags.seeds, "seeds", defaultHistories, "number of histories; with --planted, the limit for each defect")
	set.Uint64Var(&flags.firstSeed, "first-seed", 1, "seed of the first history; each further history uses the next seed")
	set.IntVar(&flags.workers, "workers", min(defaultWorkers, runtime.NumCPU()), "number of histories simulated in parallel")
	set.DurationVar(&flags.duration, "duration", 0, "virtual time during which faults are injected into each history; 0 selects the default")
	set.BoolVar(&flags.planted, "planted", false, "enable each known defect in turn and count the histories until it is detected")
	set.StringVar(&flags.only, "only", "", "with --planted, run only the defects whose name contains this text")
	return command
}

func exitStatus(err error) int {
	if errors.Is(err, errViolations) || errors.Is(err, errUndetected) {
		return statusFailed
	}
	return statusUsage
}

// simulate runs histories without planted defects and prints a report.
func simulate(out io.Writer, flags options) error {
	var summary simulation.Summary
	started := time.Now()
	simulation.RunBatch(flags.firstSeed, flags.seeds, flags.workers, simulation.Options{Duration: flags.duration}, summary.Add)
	writeReport(out, summary, time.Since(started))
	if len(summary.Failures) > 0 {
		return fmt.Errorf("%w in %d of %d histories", errViolations, len(summary.Failures), summary.Histories)
	}
	return nil
}

// writeReport prints the totals, the injected faults and the violations by seed.
func writeReport(out io.Writer, summary simulation.Summary, elapsed time.Duration) {
	rate := float64(summary.Histories) / elapsed.Seconds()
	total := summary.Total
	fmt.Fprintf(out, "%d histories in %.1f s, %.1f histories/s\n", summary.Histories, elapsed.Seconds(), rate)
	fmt.Fprintf(out, "%d steps, %d elections, %d entries committed, %d orders answered, %d placements\n",
		total.Steps, total.Elections, total.Committed, total.Answered, total.Placements)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "fault\tinjected")
	for _, kind := range slices.Sorted(maps.Keys(total.Faults)) {
		fmt.Fprintf(table, "%s\t%d\n", kind, total.Faults[kind])
	}
	_ = table.Flush()
	slices.SortFunc(summary.Failures, func(a, b simulation.Result) int { return int(a.Seed) - int(b.Seed) })
	for _, failure := range summary.Failures {
		fmt.Fprintf(out, "seed %d: %v\n", failure.Seed, failure.Violation)
	}
	fmt.Fprintf(out, "violations: %d\n", len(summary.Failures))
}

// detectDefects runs histories with each selected defect until a check detects the
// defect, and prints the number of histories. It writes one line to progress for
// each finished defect.
func detectDefects(out, progress io.Writer, flags options) error {
	limit := flags.seeds
	if limit == defaultHistories {
		limit = detectionLimit
	}
	defects := slices.DeleteFunc(defect.All(), func(planted defect.Defect) bool {
		return !strings.Contains(planted.String(), flags.only)
	})
	detections := make([]simulation.HuntResult, len(defects))
	simulation.ForEach(len(defects), flags.workers, func(index int) {
		detections[index] = simulation.Hunt(defects[index], flags.firstSeed, limit)
		fmt.Fprintf(progress, "%s: %d histories\n", defects[index], detections[index].Seeds)
	})
	if undetected := writeDetections(out, detections); undetected > 0 {
		return fmt.Errorf("%w: %d of %d", errUndetected, undetected, len(defects))
	}
	return nil
}

// writeDetections prints one row per defect and returns the number of undetected
// ones.
func writeDetections(out io.Writer, detections []simulation.HuntResult) (undetected int) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "planted defect\thistories until detected\tseed\tviolated invariant")
	for _, detection := range detections {
		if detection.Violation == nil {
			undetected++
			fmt.Fprintf(table, "%s\tnot detected in %d\t\t\n", detection.Defect, detection.Seeds)
			continue
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\n", detection.Defect, detection.Seeds, detection.Seed, detection.Violation.Rule)
	}
	_ = table.Flush()
	return undetected
}
