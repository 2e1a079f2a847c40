package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/internal/fleet"
	"github.com/deckpulley/deckpulley/internal/report"
	"github.com/deckpulley/deckpulley/internal/results"
	"github.com/deckpulley/deckpulley/internal/scenario"
	"github.com/deckpulley/deckpulley/scenarios"
)

// Bounds of a suite.
const (
	shortLimit      = 5 * time.Minute
	wholeLimit      = 40 * time.Minute
	defaultParallel = 3
	mostParallel    = 6
)

// faultFlags are those of the suite.
type faultFlags struct {
	common
	names    []string
	short    bool
	parallel int
	files    string
	record   recordFlags
}

func newFaultsCommand() *cobra.Command {
	var flags faultFlags
	command := &cobra.Command{
		Use:   "faults",
		Short: "Run fault scenarios and check every promise",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if flags.parallel < 1 || flags.parallel > mostParallel {
				return invalidError{fmt.Errorf("--parallel: must be from 1 to %d", mostParallel)}
			}
			limit := wholeLimit
			if flags.short {
				limit = shortLimit
			}
			ctx, cancel := context.WithTimeout(command.Context(), limit)
			defer cancel()
			return runFaults(ctx, command.OutOrStdout(), flags)
		},
	}
	flags.register(command)
	set := command.Flags()
	set.StringSliceVar(&flags.names, "scenario", nil, "run these alone")
	set.BoolVar(&flags.short, "short", false, "run the short suite")
	set.IntVar(&flags.parallel, "parallel", defaultParallel, "fleets side by side")
	flags.record.register(command)
	set.StringVar(&flags.files, "scenarios", "", "folder of scenario files in place of the shipped ones")
	return command
}

func loadScenarios(folder string) ([]*scenario.Scenario, error) {
	if folder != "" {
		return scenario.LoadAll(os.DirFS(folder))
	}
	return scenario.LoadAll(scenarios.Files)
}

// selectScenarios picks what to run, the longest first.
func selectScenarios(flags faultFlags) ([]*scenario.Scenario, error) {
	all, err := loadScenarios(flags.files)
	if err != nil {
		return nil, err
	}
	var list []*scenario.Scenario
	for _, of := range all {
		named := len(flags.names) == 0 || slices.Contains(flags.names, of.Name)
		if named && (of.Short || !flags.short) {
			list = append(list, of)
		}
	}
	for _, name := range flags.names {
		if !slices.ContainsFunc(list, func(of *scenario.Scenario) bool { return of.Name == name }) {
			return nil, fmt.Errorf("--scenario: no scenario %q to run; deckpulley-fleet list names them", name)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Length() > list[j].Length() })
	return list, nil
}

// outcome is one scenario's end.
type outcome struct {
	scenario *scenario.Scenario
	folder   string // with its logs
	result   *scenario.Result
	summary  *report.Summary
	page     string
	err      error
}

func (o outcome) good() bool { return o.err == nil && o.result.Good() }

func runFaults(ctx context.Context, out io.Writer, flags faultFlags) error {
	deployment, err := fleet.LoadDeployment(flags.deployment)
	if err != nil {
		return invalidError{err}
	}
	list, err := selectScenarios(flags)
	if err != nil {
		return invalidError{err}
	}
	record := flags.record.begin(results.KindFaults, deployment.Name)
	record.Partial = flags.short || len(flags.names) > 0
	outcomes := runAll(ctx, flags, deployment, list)
	if err := writeOutcomes(out, outcomes); err != nil {
		return err
	}
	merged, names := merge(outcomes)
	if err := report.WriteVerdicts(out, merged, names); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d scenarios on %s in %.0f s\n", len(outcomes), deployment.Name, time.Since(record.Began).Seconds())
	record.Scenarios, record.Promises = faultScenarios(outcomes), results.Promises(merged, names)
	if err := flags.record.save(record); err != nil {
		return err
	}
	if err := keepFindings(out, outcomes, flags.common, record.Build); err != nil {
		return err
	}
	if bad := badScenarios(outcomes); len(bad) > 0 {
		return fmt.Errorf("%w: %s", errBroken, strings.Join(bad, "; "))
	}
	if !record.Partial && len(unexercised(merged)) > 0 {
		return fmt.Errorf("%w: not exercised: %v", errBroken, unexercised(merged))
	}
	return nil
}

// badScenarios says of each scenario that was not good why: the end of a long
// output may be all that is left of it.
func badScenarios(outcomes []outcome) []string {
	var list []string
	for _, of := range outcomes {
		switch {
		case of.good():
		case of.err != nil:
			list = append(list, fmt.Sprintf("%s: %s", of.scenario.Name, firstLine(of.err)))
		default:
			list = append(list, fmt.Sprintf("%s: broken %s, not exercised %s, %d problems", of.scenario.Name,
				orDash(brokenPromises(of.result.Report)), orDash(of.result.Unexercised()), len(of.result.Problems)))
		}
	}
	return list
}

// unexercised lists the promises of which a whole run examined nothing.
func unexercised(of checker.Report) []checker.Promise {
	var list []checker.Promise
	for i := range of.Verdicts {
		if of.Verdicts[i].Status() == checker.StatusNotExercised {
			list = append(list, of.Verdicts[i].Promise)
		}
	}
	return list
}

func runAll(ctx context.Context, flags faultFlags, deployment fleet.Deployment, list []*scenario.Scenario) []outcome {
	outcomes := make([]outcome, len(list))
	next := make(chan int)
	var lanes sync.WaitGroup
	for range min(flags.parallel, len(list)) {
		lanes.Add(1)
		go func() {
			defer lanes.Done()
			for i := range next {
				outcomes[i] = runOne(ctx, flags.common, deployment, list[i])
			}
		}()
	}
	for i := range list {
		next <- i
	}
	close(next)
	lanes.Wait()
	return outcomes
}

func runOne(ctx context.Context, flags common, deployment fleet.Deployment, of *scenario.Scenario) outcome {
	done := outcome{scenario: of}
	folder, err := flags.runFolder(of.Name)
	if err != nil {
		done.err = err
		return done
	}
	done.folder = folder
	done.result, done.err = scenario.Run(ctx, scenario.Options{
		Scenario: of, Deployment: deployment, Programs: flags.programs, Folder: folder,
		Seed: flags.seed, LogLevel: flags.logLevel, Progress: progress(os.Stderr, fmt.Sprintf("%-22s ", of.Name)),
	})
	if done.err != nil {
		return done
	}
	done.summary = report.Summarize(done.result.Events)
	done.page, done.err = writePage(done.result, done.summary)
	// The logs are on disk; many of them at once would fill the memory.
	done.result.Events = nil
	return done
}

func writeOutcomes(out io.Writer, outcomes []outcome) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "scenario\tverdict\trequests\tsucceeded\tseconds\tbroken\tnot exercised\treport")
	for _, of := range outcomes {
		if of.err != nil {
			fmt.Fprintf(table, "%s\tfailed\t-\t-\t-\t-\t-\t%v\n", of.scenario.Name, firstLine(of.err))
			continue
		}
		verdict := "good"
		if !of.good() {
			verdict = "bad"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%.2f%%\t%.0f\t%s\t%s\t%s\n", of.scenario.Name, verdict, len(of.summary.Requests),
			100*of.summary.SuccessRatio(), of.result.Took.Seconds(), orDash(brokenPromises(of.result.Report)),
			orDash(of.result.Unexercised()), of.page)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, of := range outcomes {
		if of.result == nil {
			fmt.Fprintf(out, "%s: %v\n", of.scenario.Name, of.err)
			continue
		}
		for _, problem := range of.result.Problems {
			fmt.Fprintf(out, "%s: %v\n", of.scenario.Name, problem)
		}
	}
	return nil
}

func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

func orDash(list []string) string {
	if len(list) == 0 {
		return "-"
	}
	return strings.Join(list, " ")
}

func brokenPromises(of checker.Report) []string {
	var list []string
	for _, verdict := range of.Verdicts {
		if verdict.Status() == checker.StatusBroken {
			list = append(list, string(verdict.Promise))
		}
	}
	return list
}

// merge joins the reports and names, for each promise, the scenarios that
// examined it.
func merge(outcomes []outcome) (checker.Report, map[checker.Promise][]string) {
	var reports []checker.Report
	names := map[checker.Promise][]string{}
	for _, of := range outcomes {
		if of.result == nil {
			continue
		}
		reports = append(reports, of.result.Report)
		for _, verdict := range of.result.Report.Verdicts {
			if verdict.Status() != checker.StatusNotExercised {
				names[verdict.Promise] = append(names[verdict.Promise], of.scenario.Name)
			}
		}
	}
	return checker.Merge(reports...), names
}

func newCheckCommand() *cobra.Command {
	options := checker.Options{}
	command := &cobra.Command{
		Use:   "check FOLDER",
		Short: "Check the event logs of a folder again",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			events, err := eventlog.ReadFolder(arguments[0])
			if err != nil {
				return err
			}
			checked := checker.Check(events, options)
			if err := report.WriteSummary(command.OutOrStdout(), report.Summarize(events)); err != nil {
				return err
			}
			if err := report.WriteVerdicts(command.OutOrStdout(), checked, nil); err != nil {
				return err
			}
			if checked.Broken() {
				return errBroken
			}
			return nil
		},
	}
	command.Flags().IntVar(&options.ColdRamp, "cold-ramp", 1, "first step of a cold replica's ramp, in requests")
	command.Flags().IntVar(&options.Gateways, "gateways", 8, "number of gateways")
	return command
}

func newListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the shipped scenarios",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			list, err := loadScenarios("")
			if err != nil {
				return err
			}
			table := tabwriter.NewWriter(command.OutOrStdout(), 0, 4, 2, ' ', 0)
			for _, of := range list {
				suite := ""
				if of.Short {
					suite = "short"
				}
				fmt.Fprintf(table, "%s\t%s\t%.0f s\t%s\t%s\n", of.Name, suite, of.Length().Seconds(), strings.Join(of.Promises, " "), of.About)
			}
			return table.Flush()
		},
	}
}
