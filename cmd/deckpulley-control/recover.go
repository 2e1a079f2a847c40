package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/control/recovery"
	"github.com/deckpulley/deckpulley/settings"
	"github.com/deckpulley/deckpulley/storage"
)

// confirmFlag must be given in full: the recovery can't be undone.
const confirmFlag = "yes-i-lose-unreplicated-data"

func newRecoverCommand(source *settingsSource) *cobra.Command {
	var confirmed bool
	command := &cobra.Command{
		Use:   "recover --settings FILE --" + confirmFlag,
		Short: "Make a group of one from this node's surviving copy",
		Long: `Make a group of one from this node's surviving copy, for when most control
nodes have lost their disks for good. Stop every control node first, and run this
on the one with the highest index. What was acknowledged and is not in its copy
is lost. Afterwards start this node, restart every gateway, and add control
nodes with empty data folders.`,
		Args: noArguments,
		RunE: func(*cobra.Command, []string) error {
			if !confirmed {
				return &usageError{errors.New("nothing done: this loses what was not replicated to this disk; confirm with --" + confirmFlag)}
			}
			loaded, err := source.load()
			if err != nil {
				return err
			}
			return recoverGroup(loaded)
		},
	}
	command.Flags().BoolVar(&confirmed, confirmFlag, false, "confirm the loss of what is not in this copy")
	return command
}

// recoverGroup makes the node of the data folder the only member of a new group,
// and prints what the group starts with.
func recoverGroup(loaded *settings.Settings) (err error) {
	store, err := storage.Open(loaded.DataFolder)
	if err != nil {
		return fmt.Errorf("opening the data folder: %w", err)
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	recovered, err := recovery.Run(recovery.Options{
		Name:        loaded.Name,
		Zone:        loaded.Zone,
		PeerAddress: loaded.PeerAddress,
		Store:       store,
		Logger:      loaded.Logger(),
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stdout, "recovered group %s as %s: index %d, serial %d, configuration version %d (was %d)\n",
		recovered.OldCluster, recovered.Cluster, recovered.Index, recovered.Serial, recovered.NewVersion, recovered.Version)
	return nil
}
