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
	plantedLimit = 15 * time.Minute
	// plantedPrograms is the folder of the daemons built with the tag "planted", in
	// that of the plain ones.
	plantedPrograms = "planted"
)

func newPlantedCommand() *cobra.Command {
	var flags suiteFlags
	command := &cobra.Command{
		Use:   "planted",
		Short: "Run each planted defect and see which promise catches it",
		Long: "Run each planted defect in the short scenario that shows it. The daemons must be built with the tag\n" +
			"\"planted\". A defect is caught if the checker reports its promise broken, and no other than those that\n" +
			"it breaks by what it is. Without --defect each scenario runs once more without a defect, and must then be clean.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := flags.validate(); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(command.Context(), plantedLimit)
			defer cancel()
			return runPlanted(ctx, command.OutOrStdout(), flags)
		},
	}
	flags.register(command, "defect")
	programs := command.Flags().Lookup("programs")
	programs.Usage = "folder of programs built with the tag \"planted\""
	flags.programs = filepath.Join(programFolder(), plantedPrograms)
	programs.DefValue = flags.programs
	return command
}

func runPlanted(ctx context.Context, out io.Writer, flags suiteFlags) error {
	config, err := flags.config()
	if err != nil {
		return err
	}
	cases, err := suite.SelectCases(flags.names)
	if err != nil {
		return invalidError{err}
	}
	record := flags.record.begin(results.KindPlanted, config.Deployment.Name)
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
