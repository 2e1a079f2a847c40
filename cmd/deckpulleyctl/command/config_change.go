package command

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/client"
	"github.com/deckpulley/deckpulley/configuration"
)

func newConfigChangeCommand(flags *globalFlags) *cobra.Command {
	return configurationOperation{
		use:   "change FILE",
		short: "Add, replace or remove named items and wait until that is in force everywhere",
		long: `Add, replace or remove named items of the configuration, and leave the rest as it
is. The file has the items by section and name:

  upsert:
    tenants:
      acme: {home: north}
    http.routes:
      chat: {host: chat.example, path_prefix: /, kind: stream, ...}
  remove:
    tenants: [old]

Names to remove that the configuration does not have are ignored. The change is
made to the version given by --base-version, by default the one that is current
when the command starts, and is refused if another one has become current. Repeat
a lost order with the same --order-id and --base-version.`,
		baseVersionHelp: "version that the change is made to; default the current one",
		readFile:        readPatch,
		send: func(ctx context.Context, control *client.Client, request configurationRequest) (*api.OperationResult, error) {
			return control.Patch(ctx, &api.ConfigurationPatchOperation{
				OperationID: request.operationID,
				BaseVersion: request.baseVersion,
				Author:      request.author,
				Change:      request.text,
			})
		},
	}.command(flags)
}

// readPatch reads a patch of named items and checks its form. Whether it fits the
// configuration is checked by the control node.
func readPatch(command *cobra.Command, path string) (string, error) {
	text, err := readFile(command, path)
	if err != nil {
		return "", &usageError{err}
	}
	if _, err := configuration.ParseChange(text); err != nil {
		return "", &usageError{fmt.Errorf("%s: %w", path, err)}
	}
	return text, nil
}
