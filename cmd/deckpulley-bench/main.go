// Command deckpulley-bench measures control nodes and a gateway on this machine
// and prints Markdown tables; see package internal/benchmark. It is no part of a
// deployment.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/internal/benchmark"
)

// workerCommand is the hidden subcommand of child processes.
const workerCommand = "worker"

// measureFunc runs the selected measurements and returns their tables; with an
// error, those that were finished.
type measureFunc func(benchmark.Options) ([]benchmark.Table, error)

func main() {
	command := &cobra.Command{
		Use:           "deckpulley-bench",
		Short:         "Measure control nodes and a gateway on this machine",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.AddCommand(
		measureCommand("control", "Updates, recovery, elections and the cost of leases", "updates, recovery, failover, leases", benchmark.Control),
		measureCommand("gateway", "Added latency and the cost of requests and events", "latency, capacity", benchmark.Gateway),
		&cobra.Command{
			Use:    workerCommand + " KIND",
			Hidden: true,
			Args:   cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, arguments []string) error {
				return benchmark.RunWorker(arguments[0], os.Stdin, os.Stdout)
			},
		},
	)
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "deckpulley-bench:", err)
		os.Exit(1)
	}
}

// measureCommand returns the subcommand of a benchmark. Its name is also that of
// the section that --write replaces.
func measureCommand(name, short, measurements string, measure measureFunc) *cobra.Command {
	var options benchmark.Options
	var page string
	var verbose bool
	command := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			program, err := os.Executable()
			if err != nil {
				return fmt.Errorf("finding the own program: %w", err)
			}
			options.Worker = func(kind string) *exec.Cmd { return exec.Command(program, workerCommand, kind) }
			if verbose {
				options.Logger = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
			}
			if page != "" && len(options.Only) > 0 {
				return errors.New("--write takes the place of a whole section: leave --only out")
			}
			return run(name, page, options, measure)
		},
	}
	flags := command.Flags()
	flags.BoolVar(&options.Short, "short", false, "under 20 seconds, to see that every measurement runs")
	flags.StringSliceVar(&options.Only, "only", nil, "measurements to run: "+measurements)
	flags.StringVar(&options.Profiles, "profiles", "", "folder for CPU profiles")
	flags.StringVar(&page, "write", "", "page whose section is replaced by the tables")
	flags.BoolVar(&verbose, "verbose", false, "print the nodes' warnings")
	return command
}

// run prints the finished tables, also those before an error, and replaces the
// section of the page only if every measurement succeeded.
func run(section, page string, options benchmark.Options, measure measureFunc) error {
	var text bytes.Buffer
	fmt.Fprintf(&text, "\n%s\n", benchmark.Machine(options.Short))
	tables, measureErr := measure(options)
	if err := benchmark.WriteTables(&text, tables); err != nil {
		return err
	}
	text.WriteString("\n")
	if _, err := os.Stdout.Write(text.Bytes()); err != nil {
		return fmt.Errorf("printing: %w", err)
	}
	if measureErr != nil || page == "" {
		return measureErr
	}
	return benchmark.ReplaceSection(page, section, text.Bytes())
}
