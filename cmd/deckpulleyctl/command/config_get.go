package command

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/client"
	"github.com/deckpulley/deckpulley/cmd/deckpulleyctl/printer"
)

func newConfigGetCommand(flags *globalFlags) *cobra.Command {
	var local bool
	command := &cobra.Command{
		Use:   "get",
		Short: "Print the current configuration file",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return flags.withControlClient(command, func(ctx context.Context, control *client.Client) error {
				current, err := control.Configuration(ctx, !local)
				if err != nil {
					return err
				}
				if flags.outputFormat() != printer.FormatTable {
					return flags.print(command.OutOrStdout(), current, nil)
				}
				// Only the text goes to the standard output, so that it can be redirected to a file.
				fmt.Fprintf(command.ErrOrStderr(), "version %d, serial %d, by %s\n", current.Version, current.Serial, current.Author)
				_, err = io.WriteString(command.OutOrStdout(), current.Document)
				return err
			})
		},
	}
	command.Flags().BoolVar(&local, "local", false, "read the responding node's local copy, which may be stale")
	return command
}
