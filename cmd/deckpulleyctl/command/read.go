package command

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/client"
	"github.com/deckpulley/deckpulley/cmd/deckpulleyctl/printer"
)

// fetchFunc fetches one answer. Its parameters have the order of a method expression of
// client.Client, such as (*client.Client).Zones.
type fetchFunc[T any] func(*client.Client, context.Context) (*T, error)

// newReadCommand returns a command that fetches one answer from the control nodes
// and prints it.
func newReadCommand[T any](flags *globalFlags, use, short string, fetch fetchFunc[T], table func(*T) *printer.Table) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return flags.withControlClient(command, func(ctx context.Context, control *client.Client) error {
				answer, err := fetch(control, ctx)
				if err != nil {
					return err
				}
				return flags.print(command.OutOrStdout(), answer, func() []*printer.Table {
					return []*printer.Table{table(answer)}
				})
			})
		},
	}
}
