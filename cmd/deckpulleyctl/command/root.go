// Package command has the commands of deckpulleyctl, one file each. A command
// reads its arguments, asks the fleet through package client, and prints the
// answer through package printer.
package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Run executes one command line and returns the exit status of the program.
func Run(arguments []string, output, errorOutput io.Writer) int {
	root := newRootCommand()
	root.SetArgs(arguments)
	root.SetOut(output)
	root.SetErr(errorOutput)
	err := root.Execute()
	if err != nil {
		fmt.Fprintf(errorOutput, "deckpulleyctl: %v\n", err)
	}
	return exitStatus(err)
}

func newRootCommand() *cobra.Command {
	flags := &globalFlags{}
	root := &cobra.Command{
		Use:           "deckpulleyctl",
		Short:         "Operate a deckpulley fleet",
		SilenceUsage:  true,
		SilenceErrors: true,
		Long: `Operate a deckpulley fleet.

Exit statuses: 0 done; 1 refused or failed for certain; 2 wrong usage or an
invalid file; 3 outraced by another operator; 4 outcome unknown, repeat with the
printed --order-id; 5 no node could be reached; 6 status --check found something
degraded.`,
	}
	flags.register(root.PersistentFlags())
	root.AddCommand(
		newConfigCommand(flags),
		newZoneCommand(flags),
		newStatusCommand(flags),
		newMembersCommand(flags),
		newReplicasCommand(flags),
		newRouteCommand(flags),
		newTopCommand(flags),
		newRecoverCommand(),
		newManCommand(),
	)
	return root
}
