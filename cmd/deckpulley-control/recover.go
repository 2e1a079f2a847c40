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

// confirmFlag has no short form, since a recovery cannot be undone.
const confirmFlag = "yes-i-lose-unreplicated-data"

func newRecoverCommand(source *settingsSource) *cobra.Command {
	var confirmed bool
	command := &cobra.Command{
		Use:   "recover --settings FILE --" + confirmFlag,
		Short: "Restore the control plane from this node's copy of the data",
		Long: `Restore the control plane from this node's copy of the data, after a majority of
the control nodes have permanently lost their disks. The node becomes the only
member of a new group.

Stop every control node first, and run this command on the node with the highest
applied index. Acknowledged writes that are missing from its copy are lost.
Afterwards start this node, restart every gateway, and add control nodes with
empty data folders.`,
		Args: noArguments,
		RunE: func(*cobra.Command, []string) error {
			if !confirmed {
				return &usageError{errors.New("recovery not started: it discards all writes that were not replicated to this disk; to confirm, pass --" + confirmFlag)}
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

// recoverGroup makes the node that owns the data folder the only member of a new
// group, and prints the group's initial state.
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
