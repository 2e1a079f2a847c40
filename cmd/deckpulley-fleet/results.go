package main

import (
	"cmp"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/internal/results"
)

func newResultsCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "results RECORD...",
		Short: "Render records of whole runs as one page",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			var records []results.Record
			for _, argument := range arguments {
				record, err := results.Load(argument)
				if err != nil {
					return invalidError{err}
				}
				records = append(records, record)
			}
			page := results.Page(records)
			if path == "" {
				fmt.Fprint(command.OutOrStdout(), page)
				return nil
			}
			if err := os.WriteFile(path, []byte(page), 0o644); err != nil {
				return fmt.Errorf("writing the page: %w", err)
			}
			return nil
		},
	}
	command.Flags().StringVar(&path, "write", "", "file of the page; empty is standard output")
	return command
}

// recordFlags are those of the commands that run a suite.
type recordFlags struct {
	path   string
	commit string
}

func (r *recordFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&r.path, "record", "", "file that keeps the result for the page of results")
	flags.StringVar(&r.commit, "commit", "", "commit to record, if the program was built without it")
}

// begin begins a record of this run.
func (r *recordFlags) begin(kind results.Kind, deployment string) results.Record {
	build := results.CurrentBuild()
	if r.commit != "" {
		build = results.Build{Commit: r.commit}
	}
	return results.Record{
		Kind: kind, Deployment: deployment, Command: strings.Join(os.Args, " "),
		Build: build, Machine: results.CurrentMachine(), Began: time.Now(),
	}
}

// save ends a record and writes it, if there is a file for it.
func (r *recordFlags) save(record results.Record) error {
	if r.path == "" {
		return nil
	}
	record.Seconds = time.Since(record.Began).Seconds()
	return results.Save(r.path, record)
}

// faultScenarios condenses the outcomes of the suite.
func faultScenarios(outcomes []outcome) []results.Scenario {
	var list []results.Scenario
	for _, of := range outcomes {
		done := results.Scenario{Name: of.scenario.Name, Good: of.good()}
		if of.err != nil {
			done.Problems = append(done.Problems, firstLine(of.err))
		}
		if of.result != nil {
			done.Seconds = of.result.Took.Seconds()
			done.Broken, done.Unexercised = brokenPromises(of.result.Report), of.result.Unexercised()
			for _, problem := range of.result.Problems {
				done.Problems = append(done.Problems, firstLine(problem))
			}
		}
		if of.summary != nil {
			done.Requests, done.Succeeded = len(of.summary.Requests), of.summary.SuccessRatio()
		}
		list = append(list, done)
	}
	return list
}

// plantedDefects condenses the outcomes of the planted defects.
func plantedDefects(outcomes []plantedOutcome) []results.Defect {
	var list []results.Defect
	for _, of := range outcomes {
		done := results.Defect{
			Name: cmp.Or(string(of.of.Defect), "none"), Scenario: of.of.Scenario, Promise: string(of.of.Promise), Also: texts(of.of.Also),
			Because: of.of.Because, Reported: texts(of.broken), Caught: of.caught, Verdict: of.verdict(), First: of.evidence,
		}
		if of.err != nil {
			done.First = firstLine(of.err)
		}
		if of.result != nil {
			done.Seconds = of.result.Took.Seconds()
		}
		list = append(list, done)
	}
	return list
}
