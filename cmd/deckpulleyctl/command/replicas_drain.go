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
		Long: `Mark replicas as draining in the platform's list, or no longer with --undo.

The whole list is read, changed and handed over, as the platform does it: where a
platform keeps the list, drain there, since its next list replaces this one.`,
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
	command.Flags().BoolVar(&undo, "undo", false, "no longer draining")
	return command
}

// setDraining returns the list of all replicas with the draining flag of the named
// ones set or cleared. A name that is not listed is a usageError.
func setDraining(current *api.ReplicasAnswer, names []string, draining bool) (api.ReplicaList, error) {
	missing := make(map[string]bool, len(names))
	for _, name := range names {
		missing[name] = true
	}
	var list api.ReplicaList
	for _, replica := range current.Replicas {
		entry := replica.ReplicaEntry
		if missing[entry.ID] {
			entry.Draining = draining
			delete(missing, entry.ID)
		}
		list.Replicas = append(list.Replicas, entry)
	}
	for name := range missing {
		return api.ReplicaList{}, &usageError{fmt.Errorf("no replica %q is listed", name)}
	}
	return list, nil
}
