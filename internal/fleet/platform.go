package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/internal/fleet/process"
)

// platformName is the name of the platform stand-in's process and of its logs.
const platformName = "platform"

// writeInventory writes the replica list for the platform. For the checker, it logs the
// zones and regions of the replicas and the addresses of the control nodes.
func (f *Fleet) writeInventory() error {
	var list api.ReplicaList
	for _, replica := range f.replicas {
		list.Replicas = append(list.Replicas, api.ReplicaEntry{ID: replica.ID, Service: replica.Service, Zone: replica.Zone, Address: replica.Address})
		f.Log.Write(eventlog.Event{Kind: eventlog.Inventory, Replica: replica.ID, Zone: replica.Zone, Region: replica.Region, Service: replica.Service})
	}
	for _, node := range f.controlsLocked() {
		f.logControl(node)
	}
	text, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("writing the replica list: %w", err)
	}
	if err := os.WriteFile(f.replicasPath, text, 0o600); err != nil {
		return fmt.Errorf("writing the replica list: %w", err)
	}
	return nil
}

// logControl records the operator address of a control node in the event log.
func (f *Fleet) logControl(node *Node) {
	f.Log.Write(eventlog.Event{
		Kind: eventlog.Inventory, Class: checker.TargetControl, Target: node.Name, Gateway: node.OperatorAddress,
		Zone: node.Zone, Region: node.Region,
	})
}

func (f *Fleet) startPlatform() error {
	arguments := []string{
		"--replicas", f.replicasPath, "--token-file", f.platformTokenPath,
		"--listen", f.platformAddress, "--log", f.eventPath(platformName),
	}
	for _, node := range f.controlsLocked() {
		arguments = append(arguments, "--control", node.OperatorAddress)
	}
	started, err := process.Start(process.Command{
		Name:      platformName,
		Path:      filepath.Join(f.options.Programs, platformProgram),
		Arguments: arguments,
		LogPath:   f.logPath(platformName),
	})
	if err != nil {
		return err
	}
	f.platform = started
	return nil
}
