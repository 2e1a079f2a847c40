// Command deckpulley-bench measures control nodes and a gateway on this machine
// and prints the results as Markdown tables; see package internal/benchmark. It is
// not part of a deployment.
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

// workerCommand is the hidden subcommand that child processes run.
const workerCommand = "worker"

// measureFunc runs the selected measurements and returns their tables. If one
// fails, it returns the tables of the finished ones with the error.
type measureFunc func(benchmark.Options) ([]benchmark.Table, error)

func main() {
	command := &cobra.Command{
		Use:           "deckpulley-bench",
		Short:         "Benchmark control nodes and a gateway on this machine",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.AddCommand(
		measureCommand("control", "Measure updates, recovery, elections and the cost of leases", "updates, recovery, documents, failover, leases", benchmark.Control),
		measureCommand("gateway", "Measure the added latency and the cost of requests and events", "latency, capacity", benchmark.Gateway),
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

// measureCommand returns the subcommand of a benchmark. The name of the subcommand
// is also the name of the section that --write replaces.
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
				return fmt.Errorf("finding the executable of this process: %w", err)
			}
			options.Worker = func(kind string) *exec.Cmd { return exec.Command(program, workerCommand, kind) }
			if verbose {
				options.Logger = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
			}
			if page != "" && len(options.Only) > 0 {
				return errors.New("--write and --only cannot be used together: --write replaces a whole section")
			}
			return run(name, page, options, measure)
		},
	}
	flags := command.Flags()
	flags.BoolVar(&options.Short, "short", false, "run every measurement briefly, in under 20 seconds in total, as a smoke test")
	flags.StringSliceVar(&options.Only, "only", nil, "run only these measurements: "+measurements)
	flags.StringVar(&options.Profiles, "profiles", "", "folder to write CPU profiles to")
	flags.StringVar(&page, "write", "", "file in which to replace the section of this benchmark with the results")
	flags.BoolVar(&verbose, "verbose", false, "print warnings logged by the nodes")
	return command
}

// run prints the tables of all finished measurements, even after an error, and
// replaces the section of the page only if every measurement succeeded.
func run(section, page string, options benchmark.Options, measure measureFunc) error {
	var text bytes.Buffer
	fmt.Fprintf(&text, "\n%s\n", benchmark.Machine(options.Short))
	tables, measureErr := measure(options)
	if err := benchmark.WriteTables(&text, tables); err != nil {
		return err
	}
	text.WriteString("\n")
	if _, err := os.Stdout.Write(text.Bytes()); err != nil {
		return fmt.Errorf("writing to standard output: %w", err)
	}
	if measureErr != nil || page == "" {
		return measureErr
	}
	return benchmark.ReplaceSection(page, section, text.Bytes())
}
