// Package command implements the commands of deckpulleyctl, one file each. A command
// parses its arguments, calls the fleet through package client, and prints the
// response through package printer.
package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Run executes one command line and returns the program's exit status.
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

Exit statuses: 0 success; 1 the operation was refused or definitely failed; 2 usage
error or invalid file; 3 conflict with another operation; 4 outcome unknown, repeat
the command with the printed --order-id; 5 no node could be reached; 6 status --check
found the fleet degraded.`,
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
