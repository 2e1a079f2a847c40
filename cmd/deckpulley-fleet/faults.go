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

// Time limits of the suite.
const (
	shortLimit    = 5 * time.Minute
	completeLimit = 40 * time.Minute
)

type faultFlags struct {
	suiteFlags
	short  bool
	folder string
}

func newFaultsCommand() *cobra.Command {
	var flags faultFlags
	command := &cobra.Command{
		Use:   "faults",
		Short: "Run fault scenarios and check every promise",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := flags.validate(); err != nil {
				return err
			}
			limit := completeLimit
			if flags.short {
				limit = shortLimit
			}
			ctx, cancel := context.WithTimeout(command.Context(), limit)
			defer cancel()
			return runFaults(ctx, command.OutOrStdout(), flags)
		},
	}
	flags.register(command, "scenario")
	command.Flags().BoolVar(&flags.short, "short", false, "run the short suite")
	command.Flags().StringVar(&flags.folder, "scenarios", "", "folder of scenario files in place of the shipped ones")
	return command
}

func runFaults(ctx context.Context, out io.Writer, flags faultFlags) error {
	config, err := flags.config()
	if err != nil {
		return err
	}
	selection := suite.Selection{Folder: flags.folder, Names: flags.names, Short: flags.short}
	list, err := selection.Load()
	if err != nil {
		return invalidError{err}
	}
	record := flags.record.begin(results.KindFaults, config.Deployment.Name)
	record.Partial = selection.Partial()
	faults := suite.RunFaults(ctx, config, list)
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
