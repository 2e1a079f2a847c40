package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"

	"github.com/deckpulley/deckpulley/client"
)

// manSection is that of user commands.
const manSection = "1"

// recoverText is shown by the recover command, which does nothing itself: the
// disk that is recovered belongs to a stopped node.
const recoverText = `Recovery makes a group of one from the copy on one surviving disk. It is for the
loss of most disks for good, and gives up what is not in that copy. It is done on
the machine that has the disk:

 1. Stop every control node.
 2. If more than one copy survives, choose the one whose
    deckpulley_control_applied_index was the highest when it was last read.
 3. There: deckpulley-control recover --settings FILE --yes-i-lose-unreplicated-data
 4. Start that node, restart every gateway, then start the other control nodes
    with empty data folders; they join one by one.

If most control nodes can be started again with their disks, do that in its place.
`

func recoverCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "recover",
		Short: "Say how to go on after most disks were lost for good",
		Long:  recoverText,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			_, err := fmt.Fprint(command.OutOrStdout(), recoverText)
			return err
		},
	}
}

func manCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "man FOLDER",
		Short:  "Write the man pages into a folder",
		Hidden: true,
		Args:   cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			header := &doc.GenManHeader{Title: "DECKPULLEYCTL", Section: manSection, Source: "deckpulley", Manual: "deckpulley"}
			if err := doc.GenManTree(command.Root(), header, arguments[0]); err != nil {
				return usageError{err}
			}
			return nil
		},
	}
}

// completeTimeout bounds asking a node while a person waits at the shell.
const completeTimeout = time.Second

// complete completes up to limit arguments by names that a control node knows;
// without an answer there are none.
func (o *options) complete(limit int, names func(*client.Client, context.Context) []string) cobra.CompletionFunc {
	return func(command *cobra.Command, given []string, begun string) ([]cobra.Completion, cobra.ShellCompDirective) {
		connection, err := o.control()
		if err != nil || len(given) >= limit {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		ctx, cancel := context.WithTimeout(context.Background(), completeTimeout)
		defer cancel()
		var completions []cobra.Completion
		for _, name := range names(connection, ctx) {
			if strings.HasPrefix(name, begun) && !slices.Contains(given, name) {
				completions = append(completions, name)
			}
		}
		return completions, cobra.ShellCompDirectiveNoFileComp
	}
}
