package main

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/internal/results"
	"github.com/deckpulley/deckpulley/internal/scenario/suite"
)

const (
	plantedTimeout = 15 * time.Minute
	// plantedPrograms is the folder of the daemons built with the tag "planted",
	// inside the folder of the ordinary ones.
	plantedPrograms = "planted"
)

func newPlantedCommand() *cobra.Command {
	var flags suiteFlags
	command := &cobra.Command{
		Use:   "planted",
		Short: "Run each planted defect and report which promise it breaks",
		Long: "Run each planted defect in the short scenario in which it shows up. The daemons must be built with the tag \"planted\".\n" +
			"A defect is detected if the checker reports that its promise is broken, and no other except those that it necessarily\n" +
			"breaks too. Without --defect, each scenario also runs once without a defect and must then break no promise.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := flags.validate(); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(command.Context(), plantedTimeout)
			defer cancel()
			return runPlanted(ctx, command.OutOrStdout(), flags)
		},
	}
	flags.register(command, "defect")
	programs := command.Flags().Lookup("programs")
	programs.Usage = "folder with programs built with the tag \"planted\""
	flags.programFolder = filepath.Join(programFolder(), plantedPrograms)
	programs.DefValue = flags.programFolder
	return command
}

func runPlanted(ctx context.Context, out io.Writer, flags suiteFlags) error {
	config, err := flags.config()
	if err != nil {
		return err
	}
	cases, err := suite.SelectCases(flags.names)
	if err != nil {
		return usageError{err}
	}
	record := flags.record.newRecord(results.KindPlanted, config.Deployment.Name)
	record.Partial = len(flags.names) > 0
	planted := suite.RunPlanted(ctx, config, cases)
	if err := planted.Write(out); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d runs on %s in %.0f s\n", planted.Count(), config.Deployment.Name, time.Since(record.Began).Seconds())
	planted.Record(&record)
	if err := flags.record.save(record); err != nil {
		return err
	}
	return planted.Check()
}
