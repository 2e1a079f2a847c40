package command

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/client"
	"github.com/deckpulley/deckpulley/cmd/deckpulleyctl/printer"
)

func newZoneCommand(flags *globalFlags) *cobra.Command {
	command := &cobra.Command{Use: "zone", Short: "Evacuate and restore availability zones"}
	command.AddCommand(
		newEvacuationCommand(flags, "evacuate ZONE", "Stop sending new requests to a zone", false),
		newEvacuationCommand(flags, "restore ZONE", "End the evacuation of a zone", true),
		newReadCommand(flags, "list", "List the zones", (*client.Client).Zones, zonesTable),
	)
	return command
}

// newEvacuationCommand returns a command that evacuates a zone or, if withdraw is set,
// ends its evacuation.
func newEvacuationCommand(flags *globalFlags, use, short string, withdraw bool) *cobra.Command {
	var operation operationFlags
	command := &cobra.Command{
		Use:               use,
		Short:             short + " and wait until the change is in force everywhere",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: flags.completeNames(1, zoneNames),
		RunE: func(command *cobra.Command, arguments []string) error {
			return flags.withControlClient(command, func(ctx context.Context, control *client.Client) error {
				result, err := control.Evacuate(ctx, &api.EvacuationOperation{
					OperationID: operation.operationID(),
					Zone:        arguments[0],
					Withdraw:    withdraw,
					Author:      operation.author,
				})
				if err != nil {
					return operation.reportUnknownOutcome(command, err, "")
				}
				return flags.printResult(command, result)
			})
		},
	}
	operation.register(command)
	return command
}

func zoneNames(ctx context.Context, control *client.Client) ([]string, error) {
	answer, err := control.Zones(ctx)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(answer.Zones))
	for _, zone := range answer.Zones {
		names = append(names, zone.Zone)
	}
	return names, nil
}

func zonesTable(answer *api.ZonesAnswer) *printer.Table {
	table := printer.NewTable("ZONE", "REGION", "EVACUATED")
	for _, zone := range answer.Zones {
		table.AddRow(zone.Zone, zone.Region, printer.YesNo(zone.Evacuated))
	}
	return table
}
