package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/internal/fleet"
	"github.com/deckpulley/deckpulley/internal/report"
	"github.com/deckpulley/deckpulley/internal/scenario"
)

const (
	// leastSeconds leaves time for an evacuation to be judged.
	leastSeconds = 16
	mostSeconds  = 3600
	// successWanted is the default of the least part of requests that must succeed.
	successWanted = 0.995
	// overhead bounds the time for start, end and check.
	overhead = 3 * time.Minute
)

func newRunCommand() *cobra.Command {
	var flags common
	var length int
	var wanted float64
	command := &cobra.Command{
		Use:   "run",
		Short: "Run the ordinary path: load, a configuration, an evacuation and its withdrawal",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if length < leastSeconds || length > mostSeconds {
				return invalidError{fmt.Errorf("--seconds: must be from %d to %d", leastSeconds, mostSeconds)}
			}
			if wanted < 0 || wanted > 1 {
				return invalidError{errors.New("--least-success: must be from 0 to 1")}
			}
			ctx, cancel := context.WithTimeout(command.Context(), time.Duration(length)*time.Second+overhead)
			defer cancel()
			return runOrdinary(ctx, command.OutOrStdout(), flags, time.Duration(length)*time.Second, wanted)
		},
	}
	flags.register(command)
	command.Flags().IntVar(&length, "seconds", 20, "time under load")
	command.Flags().Float64Var(&wanted, "least-success", successWanted, "least part of the requests that must succeed; promises are judged in any case")
	return command
}

// ordinary spreads a configuration, an evacuation and its withdrawal over the
// time.
func ordinary(deployment fleet.Deployment, length time.Duration) *scenario.Scenario {
	zone := deployment.SpareZone()
	at := func(part float64) *scenario.Duration {
		moment := scenario.Duration(float64(length) * part)
		return &moment
	}
	const evacuated, tail = 0.4, 0.2
	return &scenario.Scenario{
		Name:  "ordinary",
		About: "The ordinary path under load, with a configuration, an evacuation and its withdrawal.",
		Load:  1,
		Steps: []scenario.Step{
			{At: at(0.2), Do: scenario.Configure},
			{At: at(evacuated), Do: scenario.Evacuate, Target: zone},
			{At: at(1 - tail), Do: scenario.Withdraw, Target: zone},
		},
		Tail: scenario.Duration(float64(length) * tail),
	}
}

func runOrdinary(ctx context.Context, out io.Writer, flags common, length time.Duration, wanted float64) error {
	deployment, err := fleet.LoadDeployment(flags.deployment)
	if err != nil {
		return invalidError{err}
	}
	folder, err := flags.runFolder("run")
	if err != nil {
		return err
	}
	result, err := scenario.Run(ctx, scenario.Options{
		Scenario: ordinary(deployment, length), Deployment: deployment, Programs: flags.programs, Folder: folder,
		Seed: flags.seed, LogLevel: flags.logLevel, Progress: progress(os.Stderr, ""),
	})
	if err != nil {
		return err
	}
	summary := report.Summarize(result.Events)
	if err := report.WriteSummary(out, summary); err != nil {
		return err
	}
	if err := writeUsage(out, result.Usage); err != nil {
		return err
	}
	if err := report.WriteVerdicts(out, result.Report, nil); err != nil {
		return err
	}
	page, err := writePage(result, summary)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "report %s\n", page)
	if !result.Good() || summary.SuccessRatio() < wanted {
		return fmt.Errorf("%w: %.2f%% succeeded, %.2f%% wanted; broken promises: %v; steps not done: %d",
			errBroken, 100*summary.SuccessRatio(), 100*wanted, result.Report.Broken(), len(result.Problems))
	}
	return nil
}

// progress writes one line for each step.
func progress(out io.Writer, name string) func(string, ...any) {
	return func(format string, arguments ...any) {
		fmt.Fprintf(out, "%s%s\n", name, fmt.Sprintf(format, arguments...))
	}
}

func writePage(result *scenario.Result, summary *report.Summary) (string, error) {
	path := filepath.Join(result.Folder, "report.html")
	file, err := os.Create(path)
	if err != nil {
		return "", fmt.Errorf("writing the report: %w", err)
	}
	defer file.Close()
	var problems []string
	for _, problem := range result.Problems {
		problems = append(problems, problem.Error())
	}
	err = report.WritePage(file, report.Page{
		Title: fmt.Sprintf("%s: %s", result.Deployment, result.Scenario.Name),
		About: result.Scenario.About, Summary: summary, Report: result.Report, Problems: problems,
	})
	return path, err
}

const (
	kilobyte = 1 << 10
	megabyte = 1 << 20
)

func writeUsage(out io.Writer, usage []scenario.NodeUsage) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "node\tresident MiB\tCPU\tread KiB/s\twritten KiB/s")
	for _, of := range usage {
		length := of.Since.Seconds()
		fmt.Fprintf(table, "  %s\t%.1f\t%.1f%%\t%.1f\t%.1f\n", of.Name, float64(of.Usage.Resident)/megabyte,
			100*of.Usage.CPU.Seconds()/length, float64(of.Usage.Read)/kilobyte/length, float64(of.Usage.Written)/kilobyte/length)
	}
	return table.Flush()
}
