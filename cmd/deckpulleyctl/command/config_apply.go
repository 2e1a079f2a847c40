package command

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/client"
)

func newConfigApplyCommand(flags *globalFlags) *cobra.Command {
	return configurationOperation{
		use:   "apply FILE",
		short: "Hand over a whole configuration and wait until it is in force everywhere",
		long: `Hand over a whole configuration and wait until it is in force everywhere.

Without --base-version the file replaces the version that is current when the
command starts. Give the version that the file was built on, so that a change by
somebody else in the meantime is not undone. Repeat a lost order with the same
--order-id and --base-version.`,
		baseVersionHelp: "version that the file was built on; default the current one",
		readFile: func(command *cobra.Command, path string) (string, error) {
			file, err := readConfiguration(command, path)
			return file.text, err
		},
		send: func(ctx context.Context, control *client.Client, request configurationRequest) (*api.OperationResult, error) {
			return control.Apply(ctx, &api.ConfigurationOperation{
				OperationID: request.operationID,
				BaseVersion: request.baseVersion,
				Author:      request.author,
				Document:    request.text,
			})
		},
	}.command(flags)
}
