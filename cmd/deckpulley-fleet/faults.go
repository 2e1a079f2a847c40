package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/internal/results"
	"github.com/deckpulley/deckpulley/internal/scenario/suite"
)

// Time limits of the fault suite.
const (
	shortTimeout    = 5 * time.Minute
	completeTimeout = 40 * time.Minute
)

type faultFlags struct {
	suiteFlags
	short          bool
	scenarioFolder string
}

func newFaultsCommand() *cobra.Command {
	var flags faultFlags
	command := &cobra.Command{
		Use:   "faults",
		Short: "Run fault scenarios and check all promises",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := flags.validate(); err != nil {
				return err
			}
			timeout := completeTimeout
			if flags.short {
				timeout = shortTimeout
			}
			ctx, cancel := context.WithTimeout(command.Context(), timeout)
			defer cancel()
			return runFaults(ctx, command.OutOrStdout(), flags)
		},
	}
	flags.register(command, "scenario")
	command.Flags().BoolVar(&flags.short, "short", false, "run the short suite")
	command.Flags().StringVar(&flags.scenarioFolder, "scenarios", "", "folder with scenario files to run instead of the shipped ones")
	return command
}

func runFaults(ctx context.Context, out io.Writer, flags faultFlags) error {
	config, err := flags.config()
	if err != nil {
		return err
	}
	selection := suite.Selection{Folder: flags.scenarioFolder, Names: flags.names, Short: flags.short}
	scenarios, err := selection.Load()
	if err != nil {
		return usageError{err}
	}
	record := flags.record.newRecord(results.KindFaults, config.Deployment.Name)
	record.Partial = selection.Partial()
	faults := suite.RunFaults(ctx, config, scenarios)
	if err := faults.Write(out); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d scenarios on %s in %.0f s\n", faults.Count(), config.Deployment.Name, time.Since(record.Began).Seconds())
	faults.Record(&record)
	if err := flags.record.save(record); err != nil {
		return err
	}
	if err := faults.WriteFindings(out, record.Build); err != nil {
		return err
	}
	return faults.Check(record.Partial)
}
