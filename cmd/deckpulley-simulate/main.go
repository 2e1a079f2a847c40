// Command deckpulley-simulate runs seeded simulations of the control plane in
// virtual time, with injected faults, and checks the invariants of each. With
// --planted it counts the simulations until each planted defect is detected.
//
// It is no part of a deployment. Exit status: 0 if every check passed, 1 after a
// violation or an undetected defect, 2 for usage.
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
	// huntLimit is the number of histories after which a planted defect counts as
	// missed, unless --seeds gives another.
	huntLimit = 20000
)

// Exit statuses.
const (
	statusFailed = 1
	statusUsage  = 2
)

var (
	errViolations = errors.New("a rule was broken")
	errMissed     = errors.New("a planted defect was not caught")
)

// options are the flags.
type options struct {
	seeds     int
	firstSeed uint64
	workers   int
	duration  time.Duration // virtual time; 0 for the default
	planted   bool
	only      string
}

// validate returns an error if a flag is out of range.
func (o *options) validate() error {
	if o.seeds < 1 || o.workers < 1 || o.duration < 0 {
		return errors.New("--seeds and --workers must be above zero, --duration not below")
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
		Short:         "Play histories of the control plane in virtual time and check them",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := flags.validate(); err != nil {
				return err
			}
			if flags.planted {
				return hunt(command.OutOrStdout(), command.ErrOrStderr(), flags)
			}
			return simulate(command.OutOrStdout(), flags)
		},
	}
	set := command.Flags()
	set.IntVar(&flags.seeds, "seeds", defaultHistories, "number of histories; with --planted the most for each defect")
	set.Uint64Var(&flags.firstSeed, "first-seed", 1, "seed of the first history; the others follow it")
	set.IntVar(&flags.workers, "workers", min(defaultWorkers, runtime.NumCPU()), "histories played at once")
	set.DurationVar(&flags.duration, "duration", 0, "virtual time with faults in each history, 0 for the default")
	set.BoolVar(&flags.planted, "planted", false, "plant each known defect in turn and count the histories until it is caught")
	set.StringVar(&flags.only, "only", "", "with --planted: only the defects whose name contains this")
	return command
}

func exitStatus(err error) int {
	if errors.Is(err, errViolations) || errors.Is(err, errMissed) {
		return statusFailed
	}
	return statusUsage
}

// simulate runs histories of the code without planted defects.
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

// hunt plants each selected defect in turn and counts the histories until a check
// detects it. It writes one line to progress whenever a defect is finished.
func hunt(out, progress io.Writer, flags options) error {
	limit := flags.seeds
	if limit == defaultHistories {
		limit = huntLimit
	}
	defects := slices.DeleteFunc(defect.All(), func(planted defect.Defect) bool {
		return !strings.Contains(planted.String(), flags.only)
	})
	catches := make([]simulation.HuntResult, len(defects))
	simulation.ForEach(len(defects), flags.workers, func(index int) {
		catches[index] = simulation.Hunt(defects[index], flags.firstSeed, limit)
		fmt.Fprintf(progress, "%s: %d histories\n", defects[index], catches[index].Seeds)
	})
	if missed := writeCatches(out, catches); missed > 0 {
		return fmt.Errorf("%w: %d of %d", errMissed, missed, len(defects))
	}
	return nil
}

// writeCatches prints one row a defect and returns how many were missed.
func writeCatches(out io.Writer, catches []simulation.HuntResult) (missed int) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "planted defect\thistories until caught\tseed\trule that caught it")
	for _, catch := range catches {
		if catch.Violation == nil {
			missed++
			fmt.Fprintf(table, "%s\tnot in %d\t\t\n", catch.Defect, catch.Seeds)
			continue
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\n", catch.Defect, catch.Seeds, catch.Seed, catch.Violation.Rule)
	}
	_ = table.Flush()
	return missed
}
