package command

import (
	"context"
	"fmt"
	"math"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/client"
)

func newReplicasDrainCommand(flags *globalFlags) *cobra.Command {
	var undo bool
	command := &cobra.Command{
		Use:   "drain REPLICA...",
		Short: "Mark replicas as draining in the platform's list",
		Long: `Mark replicas as draining in the platform's list, or clear the mark with --undo.

The command reads the whole list, changes it and sends it back. If a platform
maintains the list, drain the replicas there instead: the next list that it sends
replaces this one.`,
		Args:              cobra.MinimumNArgs(1),
		ValidArgsFunction: flags.completeNames(math.MaxInt, replicaNames),
		RunE: func(command *cobra.Command, arguments []string) error {
			return flags.withControlClient(command, func(ctx context.Context, control *client.Client) error {
				current, err := control.Replicas(ctx)
				if err != nil {
					return err
				}
				list, err := setDraining(current, arguments, !undo)
				if err != nil {
					return err
				}
				result, err := control.ReplaceReplicas(ctx, list)
				if err != nil {
					return err
				}
				return flags.printResult(command, result)
			})
		},
	}
	command.Flags().BoolVar(&undo, "undo", false, "clear the draining mark")
	return command
}

// setDraining returns the list of all replicas with the draining flag of the named
// replicas set or cleared. It returns a usageError for a name that is not listed.
func setDraining(current *api.ReplicasAnswer, names []string, draining bool) (api.ReplicaList, error) {
	unmatched := make(map[string]bool, len(names))
	for _, name := range names {
		unmatched[name] = true
	}
	var list api.ReplicaList
	for _, replica := range current.Replicas {
		entry := replica.ReplicaEntry
		if unmatched[entry.ID] {
			entry.Draining = draining
			delete(unmatched, entry.ID)
		}
		list.Replicas = append(list.Replicas, entry)
	}
	for name := range unmatched {
		return api.ReplicaList{}, &usageError{fmt.Errorf("no replica %q in the list", name)}
	}
	return list, nil
}
