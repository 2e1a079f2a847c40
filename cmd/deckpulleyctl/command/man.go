package command

import (
	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"
)

// manSection is the manual section for user commands.
const manSection = "1"

func newManCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "man FOLDER",
		Short:  "Write the man pages to a folder",
		Hidden: true,
		Args:   cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			header := &doc.GenManHeader{Title: "DECKPULLEYCTL", Section: manSection, Source: "deckpulley", Manual: "deckpulley"}
			if err := doc.GenManTree(command.Root(), header, arguments[0]); err != nil {
				return &usageError{err}
			}
			return nil
		},
	}
}
