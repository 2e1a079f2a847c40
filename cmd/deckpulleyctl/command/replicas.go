package command

import (
	"context"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/client"
	"github.com/deckpulley/deckpulley/cmd/deckpulleyctl/printer"
)

func newReplicasCommand(flags *globalFlags) *cobra.Command {
	command := &cobra.Command{Use: "replicas", Short: "List and drain replicas"}
	command.AddCommand(
		newReadCommand(flags, "list", "List the replicas", (*client.Client).Replicas, replicasTable),
		newReadCommand(flags, "http", "List the replicas behind a gateway's HTTP address, as that gateway sees them", (*client.Client).HTTPReplicas, httpReplicasTable),
		newReplicasDrainCommand(flags),
	)
	return command
}

func replicaNames(ctx context.Context, control *client.Client) ([]string, error) {
	answer, err := control.Replicas(ctx)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(answer.Replicas))
	for _, replica := range answer.Replicas {
		names = append(names, replica.ID)
	}
	return names, nil
}

func replicasTable(answer *api.ReplicasAnswer) *printer.Table {
	table := printer.NewTable("REPLICA", "SERVICE", "ZONE", "REGION", "ADDRESS", "CONDITION", "FEEDER", "DRAINING")
	for _, replica := range answer.Replicas {
		table.AddRow(replica.ID, replica.Service, replica.Zone, replica.Region, replica.Address, replica.Condition, replica.WarmupGateway, printer.YesNo(replica.Draining))
	}
	return table
}

func httpReplicasTable(answer *api.HTTPReplicasAnswer) *printer.Table {
	table := printer.NewTable("REPLICA", "SERVICE", "ZONE", "REGION", "ADDRESS", "STATE", "REQUESTS", "READING MS", "SLOWNESS")
	for _, replica := range answer.Replicas {
		table.AddRow(replica.ID, replica.Service, replica.Zone, replica.Region, replica.Address, replica.State,
			replica.Requests, replica.PrefillMS, strconv.FormatFloat(replica.Slowness, 'f', 2, 64))
	}
	return table
}
