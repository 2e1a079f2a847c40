package main

import (
	"context"
	"fmt"
	"math"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/client"
)

// reading is a command that reads one answer and shows it.
func reading[T any](shared *options, use, short string, fetch func(*client.Client, context.Context) (*T, error), people func(*T) *table) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			connection, ctx, cancel, err := shared.connect(command)
			if err != nil {
				return err
			}
			defer cancel()
			answer, err := fetch(connection, ctx)
			if err != nil {
				return err
			}
			return shared.show(command.OutOrStdout(), answer, func() *table { return people(answer) })
		},
	}
}

func zoneCommand(shared *options) *cobra.Command {
	command := &cobra.Command{Use: "zone", Short: "Evacuate and restore availability zones"}
	command.AddCommand(
		evacuation(shared, "evacuate ZONE", "Send nothing new to a zone", false),
		evacuation(shared, "restore ZONE", "Withdraw a zone's evacuation", true),
		reading(shared, "list", "List the zones", (*client.Client).Zones, zonesTable),
	)
	return command
}

func evacuation(shared *options, use, short string, withdraw bool) *cobra.Command {
	var flags orderFlags
	command := &cobra.Command{
		Use:   use,
		Short: short + ", and wait until that is in force everywhere",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			connection, ctx, cancel, err := shared.connect(command)
			if err != nil {
				return err
			}
			defer cancel()
			order := api.EvacuationOperation{OperationID: flags.id(), Zone: arguments[0], Withdraw: withdraw, Author: flags.author}
			answer, err := connection.Evacuate(ctx, &order)
			if err != nil {
				return flags.explain(command, err, "")
			}
			return shared.showOrder(command, answer)
		},
	}
	flags.add(command)
	command.ValidArgsFunction = shared.complete(1, func(connection *client.Client, ctx context.Context) []string {
		var names []string
		if answer, err := connection.Zones(ctx); err == nil {
			for _, zone := range answer.Zones {
				names = append(names, zone.Zone)
			}
		}
		return names
	})
	return command
}

func zonesTable(answer *api.ZonesAnswer) *table {
	rows := &table{header: []string{"ZONE", "REGION", "EVACUATED"}}
	for _, zone := range answer.Zones {
		rows.add(zone.Zone, zone.Region, yesNo(zone.Evacuated))
	}
	return rows
}

func membersCommand(shared *options) *cobra.Command {
	command := &cobra.Command{Use: "members", Short: "Show the fleet's own nodes"}
	command.AddCommand(reading(shared, "list", "List the nodes", (*client.Client).Members, membersTable))
	return command
}

func membersTable(answer *api.MembersAnswer) *table {
	rows := &table{header: []string{"NAME", "ROLE", "ZONE", "REGION", "UP", "PEERS", "HTTP", "DETAIL"}}
	for _, member := range answer.Members {
		rows.add(member.Name, member.Role, member.Zone, member.Region, yesNo(member.Up), member.PeerAddress, member.HTTPAddress, memberDetail(member))
	}
	rows.add("repair done", "", "", "", yesNo(answer.RepairDone), "", "", "")
	return rows
}

func memberDetail(member api.MemberStatus) string {
	switch {
	case member.Learner:
		return fmt.Sprintf("learner, index %d", member.MatchIndex)
	case member.Voter:
		return fmt.Sprintf("voter, index %d", member.MatchIndex)
	case member.LeaseMS > 0:
		return fmt.Sprintf("lease %d ms, serial %d held, %d active", member.LeaseMS, member.ReceivedSerial, member.ActiveSerial)
	default:
		return ""
	}
}

func replicasCommand(shared *options) *cobra.Command {
	command := &cobra.Command{Use: "replicas", Short: "List and drain replicas"}
	command.AddCommand(
		reading(shared, "list", "List the replicas", (*client.Client).Replicas, replicasTable),
		reading(shared, "http", "List the replicas behind a gateway's HTTP address, as it holds them", (*client.Client).HTTPReplicas, httpReplicasTable),
		drainCommand(shared),
	)
	return command
}

func replicasTable(answer *api.ReplicasAnswer) *table {
	rows := &table{header: []string{"REPLICA", "SERVICE", "ZONE", "REGION", "ADDRESS", "CONDITION", "FEEDER", "DRAINING"}}
	for _, replica := range answer.Replicas {
		rows.add(replica.ID, replica.Service, replica.Zone, replica.Region, replica.Address, replica.Condition, replica.Feeder, yesNo(replica.Draining))
	}
	return rows
}

func httpReplicasTable(answer *api.HTTPReplicasAnswer) *table {
	rows := &table{header: []string{"REPLICA", "SERVICE", "ZONE", "REGION", "ADDRESS", "STATE", "REQUESTS", "READING MS", "SLOWNESS"}}
	for _, replica := range answer.Replicas {
		rows.add(replica.ID, replica.Service, replica.Zone, replica.Region, replica.Address, string(replica.State),
			strconv.Itoa(replica.Requests), strconv.FormatInt(replica.PrefillMS, 10), strconv.FormatFloat(replica.Slowness, 'f', 2, 64))
	}
	return rows
}

func drainCommand(shared *options) *cobra.Command {
	var undo bool
	command := &cobra.Command{
		Use:   "drain REPLICA...",
		Short: "Mark replicas as draining in the platform's list",
		Long: `Mark replicas as draining in the platform's list, or no longer with --undo.

The whole list is read, changed and handed over, as the platform does it: where a
platform keeps the list, drain there, since its next list replaces this one.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			connection, ctx, cancel, err := shared.connect(command)
			if err != nil {
				return err
			}
			defer cancel()
			current, err := connection.Replicas(ctx)
			if err != nil {
				return err
			}
			list, err := withDraining(current, arguments, !undo)
			if err != nil {
				return err
			}
			answer, err := connection.ReplaceReplicas(ctx, list)
			if err != nil {
				return err
			}
			return shared.showOrder(command, answer)
		},
	}
	command.Flags().BoolVar(&undo, "undo", false, "no longer draining")
	command.ValidArgsFunction = shared.complete(math.MaxInt, func(connection *client.Client, ctx context.Context) []string {
		var names []string
		if answer, err := connection.Replicas(ctx); err == nil {
			for _, replica := range answer.Replicas {
				names = append(names, replica.ID)
			}
		}
		return names
	})
	return command
}

// withDraining returns the whole list with the flag of the named replicas set.
func withDraining(current *api.ReplicasAnswer, names []string, draining bool) (api.ReplicaList, error) {
	wanted := make(map[string]bool, len(names))
	for _, name := range names {
		wanted[name] = true
	}
	var list api.ReplicaList
	for _, replica := range current.Replicas {
		entry := replica.ReplicaEntry
		if wanted[entry.ID] {
			entry.Draining = draining
			delete(wanted, entry.ID)
		}
		list.Replicas = append(list.Replicas, entry)
	}
	for name := range wanted {
		return api.ReplicaList{}, usageError{fmt.Errorf("no replica %q is listed", name)}
	}
	return list, nil
}
