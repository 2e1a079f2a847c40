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
		short: "Add, replace or remove named items and wait until the change is in force everywhere",
		long: `Add, replace or remove named items of the configuration, and leave all other items
unchanged. The file lists the items by section and name:

  upsert:
    tenants:
      acme: {home: north}
    http.routes:
      chat: {host: chat.example, path_prefix: /, kind: stream, ...}
  remove:
    tenants: [old]

Names to remove that do not exist in the configuration are ignored. The change
applies to the version given by --base-version, by default the version that is
current when the command starts, and is refused if that version is no longer
current. If the response is lost, repeat the command with the same --order-id and
--base-version.`,
		baseVersionHelp: "version that the change applies to; default the current version",
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

// readPatch reads a patch of named items and validates its syntax. The control node
// validates the resulting configuration.
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
