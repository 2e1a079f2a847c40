package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/fleet"
	"github.com/deckpulley/deckpulley/internal/planted/catalog"
	"github.com/deckpulley/deckpulley/internal/results"
	"github.com/deckpulley/deckpulley/internal/scenario"
	"github.com/deckpulley/deckpulley/scenarios"
)

const (
	// plantedVariable names the defect to daemons built with the tag "planted".
	plantedVariable = "DECKPULLEY_PLANTED_DEFECT"
	plantedLimit    = 15 * time.Minute
	// plantedPrograms is where make puts such daemons, beside the plain ones.
	plantedPrograms = "planted"
)

// plantedFlags are those of the command that runs planted defects.
type plantedFlags struct {
	common
	names    []string
	parallel int
	record   string
}

func newPlantedCommand() *cobra.Command {
	var flags plantedFlags
	command := &cobra.Command{
		Use:   "planted",
		Short: "Run each planted defect and see which promise catches it",
		Long: "Run each planted defect in the short scenario that shows it. The daemons must be built with the tag\n" +
			"\"planted\". A defect is caught if the checker reports its promise broken, and no other than those that\n" +
			"it breaks by what it is. Without --defect each scenario runs once more without a defect, and must then be clean.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if flags.parallel < 1 || flags.parallel > mostParallel {
				return invalidError{fmt.Errorf("--parallel: must be from 1 to %d", mostParallel)}
			}
			ctx, cancel := context.WithTimeout(command.Context(), plantedLimit)
			defer cancel()
			return runPlanted(ctx, command.OutOrStdout(), flags)
		},
	}
	flags.register(command)
	set := command.Flags()
	set.Lookup("programs").Usage = "folder of programs built with the tag \"planted\""
	flags.programs = filepath.Join(programFolder(), plantedPrograms)
	set.Lookup("programs").DefValue = flags.programs
	set.StringSliceVar(&flags.names, "defect", nil, "run these alone")
	set.StringVar(&flags.record, recordFlag, "", "file that keeps the result for the page of results")
	set.IntVar(&flags.parallel, "parallel", defaultParallel, "fleets side by side")
	return command
}

// plantedOutcome is one defect's end.
type plantedOutcome struct {
	of       catalog.Case
	result   *scenario.Result
	broken   []checker.Promise
	caught   bool
	evidence string
	err      error
}

func selectCases(names []string) ([]catalog.Case, error) {
	if len(names) == 0 {
		return append(catalog.Cases(), catalog.Controls()...), nil
	}
	var list []catalog.Case
	for _, name := range names {
		of, err := catalog.Find(name)
		if err != nil {
			return nil, fmt.Errorf("--defect: %w", err)
		}
		list = append(list, of)
	}
	return list, nil
}

// loadPlanted reads a case's scenario.
func loadPlanted(name string) (*scenario.Scenario, error) {
	text, err := fs.ReadFile(scenarios.Planted(), name+".yaml")
	if err != nil {
		return nil, fmt.Errorf("reading scenario: %w", err)
	}
	return scenario.Parse(name, text)
}

func runPlanted(ctx context.Context, out io.Writer, flags plantedFlags) error {
	deployment, err := fleet.LoadDeployment(flags.deployment)
	if err != nil {
		return invalidError{err}
	}
	cases, err := selectCases(flags.names)
	if err != nil {
		return invalidError{err}
	}
	record := newRecord(results.KindPlanted, deployment.Name)
	record.Partial = len(flags.names) > 0
	outcomes := make([]plantedOutcome, len(cases))
	lanes := make(chan struct{}, flags.parallel)
	var all sync.WaitGroup
	for i, of := range cases {
		lanes <- struct{}{}
		all.Add(1)
		go func() {
			defer all.Done()
			outcomes[i] = runCase(ctx, flags.common, deployment, of)
			<-lanes
		}()
	}
	all.Wait()
	if err := writePlanted(out, outcomes); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d runs on %s in %.0f s\n", len(outcomes), deployment.Name, time.Since(record.Began).Seconds())
	record.Defects = plantedDefects(outcomes)
	if err := saveRecord(flags.record, record); err != nil {
		return err
	}
	if slices.ContainsFunc(outcomes, func(of plantedOutcome) bool { return !of.caught }) {
		return errBroken
	}
	return nil
}

func runCase(ctx context.Context, flags common, deployment fleet.Deployment, of catalog.Case) plantedOutcome {
	done := plantedOutcome{of: of}
	name := cmp.Or(string(of.Defect), "none-"+of.Scenario)
	file, err := loadPlanted(of.Scenario)
	if err != nil {
		done.err = err
		return done
	}
	folder, err := flags.runFolder("planted-" + name)
	if err != nil {
		done.err = err
		return done
	}
	done.result, done.err = scenario.Run(ctx, scenario.Options{
		Scenario: file, Deployment: deployment, Programs: flags.programs, Folder: folder,
		Seed: flags.seed, LogLevel: flags.logLevel, Progress: progress(os.Stderr, fmt.Sprintf("%-22s ", name)),
		Environment: []string{plantedVariable + "=" + string(of.Defect)},
	})
	if done.err != nil {
		return done
	}
	done.broken, done.caught = of.Judge(done.result.Report)
	if of.Control() {
		done.caught = done.result.Good()
	}
	if verdict, ok := done.result.Report.Verdict(of.Promise); ok && len(verdict.Violations) > 0 {
		done.evidence = verdict.Violations[0].Summary
	}
	done.result.Events = nil // on disk
	return done
}

// verdict is the end in one word or two.
func (o plantedOutcome) verdict() string {
	switch {
	case o.of.Control() && o.caught:
		return "clean"
	case o.of.Control():
		return "not clean"
	case o.caught:
		return "caught"
	default:
		return "not caught"
	}
}

func writePlanted(out io.Writer, outcomes []plantedOutcome) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "defect\tscenario\tseconds\tpromise\tbroken too\treported\tverdict\tfirst violation")
	for _, of := range outcomes {
		took := "-"
		if of.result != nil {
			took = fmt.Sprintf("%.0f", of.result.Took.Seconds())
		}
		if of.err != nil {
			of.evidence = firstLine(of.err)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", cmp.Or(string(of.of.Defect), "none"), of.of.Scenario, took,
			cmp.Or(string(of.of.Promise), "-"), orDash(texts(of.of.Also)), orDash(texts(of.broken)), of.verdict(), of.evidence)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("writing the table: %w", err)
	}
	for _, of := range outcomes {
		if of.of.Because != "" {
			fmt.Fprintf(out, "%s breaks %s too: %s\n", of.of.Defect, strings.Join(texts(of.of.Also), " "), of.of.Because)
		}
		if !of.caught && of.result != nil {
			writeUnexpected(out, of)
		}
	}
	return nil
}

// writeUnexpected tells what else a run reported.
func writeUnexpected(out io.Writer, of plantedOutcome) {
	fmt.Fprintf(out, "%s in %s: %s; logs in %s\n", cmp.Or(string(of.of.Defect), "none"), of.of.Scenario, of.verdict(), of.result.Folder)
	if unexercised := of.result.Unexercised(); len(unexercised) > 0 {
		fmt.Fprintf(out, "  not exercised: %s\n", strings.Join(unexercised, " "))
	}
	for _, promise := range of.broken {
		if verdict, ok := of.result.Report.Verdict(promise); ok {
			fmt.Fprintf(out, "  %s: %s\n", promise, verdict.Violations[0].Summary)
		}
	}
	for _, problem := range of.result.Problems {
		fmt.Fprintf(out, "  step: %v\n", problem)
	}
}

func texts(promises []checker.Promise) []string {
	var list []string
	for _, promise := range promises {
		list = append(list, string(promise))
	}
	return list
}
