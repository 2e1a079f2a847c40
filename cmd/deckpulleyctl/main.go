// Command deckpulleyctl is the operators' command line: it reads and changes the
// configuration, evacuates zones, and shows members, replicas and status.
//
// Exit statuses:
//
//	0  done
//	1  refused, or failed for certain
//	2  wrong usage, or an invalid file: nothing was sent
//	3  outraced: the base version is not the current one, or the order id is taken
//	4  outcome unknown: repeat the command with the printed --order-id
//	5  no node could be reached: nothing was sent
//	6  status --check: something is degraded
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/api"
)

// Exit statuses.
const (
	exitDone        = 0
	exitRefused     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnknown     = 4
	exitUnreachable = 5
	exitDegraded    = 6
)

// usageError is a mistake on the command line or in a file.
type usageError struct{ error }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(arguments []string, output, complaints io.Writer) int {
	command := newCommand()
	command.SetArgs(arguments)
	command.SetOut(output)
	command.SetErr(complaints)
	err := command.Execute()
	if err != nil {
		fmt.Fprintf(complaints, "deckpulleyctl: %v\n", err)
	}
	return exitStatus(err)
}

// exitStatus maps an error to the documented status. What is not an *api.Error
// was found before anything was sent.
func exitStatus(err error) int {
	var problem *api.Error
	switch {
	case err == nil:
		return exitDone
	case errors.Is(err, errDegraded):
		return exitDegraded
	case !errors.As(err, &problem):
		return exitUsage
	case problem.Code == api.CodeVersionConflict || problem.Code == api.CodeOperationConflict:
		return exitConflict
	case problem.Outcome == api.OutcomeUnknown:
		return exitUnknown
	case problem.Code == api.CodeNoPrimary:
		return exitUnreachable
	default:
		return exitRefused
	}
}

func newCommand() *cobra.Command {
	shared := &options{}
	command := &cobra.Command{
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
	shared.addFlags(command.PersistentFlags())
	command.AddCommand(
		configCommand(shared),
		zoneCommand(shared),
		statusCommand(shared),
		membersCommand(shared),
		replicasCommand(shared),
		routeCommand(shared),
		topCommand(shared),
		recoverCommand(),
		manCommand(),
	)
	return command
}
