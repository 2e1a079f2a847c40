package main

import (
	"fmt"

	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"
)

// manSection is that of user commands.
const manSection = "1"

// recoverText is shown by the recover command, which does nothing itself: the
// disk that is recovered belongs to a stopped node.
const recoverText = `Recovery makes a group of one from the copy on one surviving disk. It is for the
loss of most disks for good, and gives up what is not in that copy. It is done on
the machine that has the disk:

 1. Stop every control node.
 2. Read the index of each surviving copy in its log, and choose the highest.
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
