// Command deckpulley-simulate plays histories of the control plane in virtual
// time, with faults, and checks each of them.
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
	// huntLimit is the number of histories until a planted defect counts as missed.
	huntLimit = 20000

	statusFailed  = 1
	statusInvalid = 2
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
	duration  time.Duration
	planted   bool
	only      string
}

func main() {
	var flags options
	command := &cobra.Command{
		Use:           "deckpulley-simulate",
		Short:         "Play histories of the control plane in virtual time and check them",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			if flags.seeds < 1 || flags.workers < 1 || flags.duration < 0 {
				return errors.New("--seeds and --workers must be above zero, --duration not below")
			}
			if flags.planted {
				return hunt(command.OutOrStdout(), command.ErrOrStderr(), flags)
			}
			return play(command.OutOrStdout(), flags)
		},
	}
	set := command.Flags()
	set.IntVar(&flags.seeds, "seeds", defaultHistories, "number of histories; with --planted the most for each defect")
	set.Uint64Var(&flags.firstSeed, "first-seed", 1, "seed of the first history; the others follow it")
	set.IntVar(&flags.workers, "workers", min(defaultWorkers, runtime.NumCPU()), "histories played at once")
	set.DurationVar(&flags.duration, "duration", 0, "virtual time with faults in each history, 0 for the default")
	set.BoolVar(&flags.planted, "planted", false, "plant each known defect in turn and count the histories until it is caught")
	set.StringVar(&flags.only, "only", "", "with --planted: only the defects whose name contains this")
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "deckpulley-simulate:", err)
		os.Exit(status(err))
	}
}

func status(err error) int {
	if errors.Is(err, errViolations) || errors.Is(err, errMissed) {
		return statusFailed
	}
	return statusInvalid
}

// play plays histories of the true code.
func play(out io.Writer, flags options) error {
	var summary simulation.Summary
	began := time.Now()
	simulation.Batch(flags.firstSeed, flags.seeds, flags.workers, simulation.Options{Duration: flags.duration}, summary.Add)
	report(out, summary, time.Since(began))
	if len(summary.Failures) > 0 {
		return fmt.Errorf("%w in %d of %d histories", errViolations, len(summary.Failures), summary.Histories)
	}
	return nil
}

func report(out io.Writer, summary simulation.Summary, took time.Duration) {
	rate := float64(summary.Histories) / took.Seconds()
	total := summary.Total
	fmt.Fprintf(out, "%d histories in %.1f s, %.1f histories/s\n", summary.Histories, took.Seconds(), rate)
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

// hunt plants each defect in turn. It says on progress when one is done.
func hunt(out, progress io.Writer, flags options) error {
	limit := flags.seeds
	if limit == defaultHistories {
		limit = huntLimit
	}
	all := slices.DeleteFunc(defect.All(), func(planted defect.Defect) bool {
		return !strings.Contains(planted.String(), flags.only)
	})
	catches := make([]simulation.Catch, len(all))
	simulation.Each(len(all), flags.workers, func(position int) {
		catches[position] = simulation.Hunt(all[position], flags.firstSeed, limit)
		fmt.Fprintf(progress, "%s: %d histories\n", all[position], catches[position].Seeds)
	})
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "planted defect\thistories until caught\tseed\trule that caught it")
	missed := 0
	for _, catch := range catches {
		if catch.Violation == nil {
			missed++
			fmt.Fprintf(table, "%s\tnot in %d\t\t\n", catch.Defect, catch.Seeds)
			continue
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\n", catch.Defect, catch.Seeds, catch.Seed, catch.Violation.Rule)
	}
	_ = table.Flush()
	if missed > 0 {
		return fmt.Errorf("%w: %d of %d", errMissed, missed, len(all))
	}
	return nil
}
