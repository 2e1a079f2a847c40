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
		short: "Replace the whole configuration and wait until it is in force everywhere",
		long: `Replace the whole configuration and wait until it is in force everywhere.

Without --base-version the file replaces the version that is current when the
command starts. Specify the version that the file is based on, so that a concurrent
change by another operator is not overwritten. If the response is lost, repeat the
command with the same --order-id and --base-version.`,
		baseVersionHelp: "version that the file is based on; default the current version",
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
