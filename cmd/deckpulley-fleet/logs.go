package main

import (
	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/scenario/suite"
)

func newCheckCommand() *cobra.Command {
	options := checker.Options{}
	command := &cobra.Command{
		Use:   "check FOLDER",
		Short: "Check the event logs of an earlier run",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			return suite.CheckLogs(command.OutOrStdout(), arguments[0], options)
		},
	}
	command.Flags().IntVar(&options.SlowStartLimit, "cold-ramp", 1, "initial concurrency limit of a cold replica, in requests")
	command.Flags().IntVar(&options.Gateways, "gateways", 8, "number of gateways in the run")
	return command
}

func newListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the shipped scenarios",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return suite.WriteList(command.OutOrStdout())
		},
	}
}
