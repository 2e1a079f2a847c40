package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/internal/fleet/process"
	"github.com/deckpulley/deckpulley/internal/freeport"
)

// Replica is one replica stand-in of the fleet.
type Replica struct {
	ID      string
	Service string
	Kind    string
	Zone    string
	Region  string
	Address string
	// Cold makes its next start a cold one.
	Cold bool

	number  int
	process *process.Process
}

// Running reports whether the replica's process runs.
func (r *Replica) Running() bool { return r.process != nil && r.process.Running() }

func (f *Fleet) newReplica(id, kind string, plan RegionPlan) (*Replica, error) {
	host, err := f.block.host()
	if err != nil {
		return nil, err
	}
	ports, err := freeport.Addresses(host, 1)
	if err != nil {
		return nil, err
	}
	service := f.options.Deployment.ModelService
	if kind == KindWeb {
		service = f.options.Deployment.WebService
	}
	return &Replica{
		ID: id, Service: service, Kind: kind, Zone: plan.Zone, Region: plan.Name,
		Address: ports[0], number: len(f.replicas) + 1,
	}, nil
}

func (f *Fleet) startReplica(replica *Replica) error {
	arguments := []string{
		"--id", replica.ID, "--service", replica.Service, "--zone", replica.Zone, "--region", replica.Region,
		"--listen", replica.Address, "--kind", replica.Kind,
		"--log", f.eventPath(replica.ID),
		"--seed", strconv.FormatUint(f.options.Seed*1000+uint64(replica.number), 10),
	}
	if f.options.Parameters != "" && replica.Kind == KindModel {
		arguments = append(arguments, "--parameters", f.options.Parameters)
	}
	if replica.Cold {
		arguments = append(arguments, "--cold")
	}
	started, err := process.Start(process.Command{
		Name:      replica.ID,
		Path:      filepath.Join(f.options.Programs, replicaProgram),
		Arguments: arguments,
		LogPath:   filepath.Join(f.options.Folder, "logs", replica.ID+".log"),
	})
	if err != nil {
		return err
	}
	replica.process = started
	return nil
}

// writeInventory writes the platform's list, and the places of the replicas for
// the checker.
func (f *Fleet) writeInventory() error {
	var list api.ReplicaList
	for _, replica := range f.replicas {
		list.Replicas = append(list.Replicas, api.ReplicaEntry{ID: replica.ID, Service: replica.Service, Zone: replica.Zone, Address: replica.Address})
		f.Log.Write(eventlog.Event{Kind: eventlog.Inventory, Replica: replica.ID, Zone: replica.Zone, Region: replica.Region, Service: replica.Service})
	}
	for _, node := range f.controls() {
		f.noteControl(node)
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

// noteControl logs where operators reach a control node.
func (f *Fleet) noteControl(node *Node) {
	f.Log.Write(eventlog.Event{
		Kind: eventlog.Inventory, Class: checker.TargetControl, Target: node.Name, Gateway: node.OperatorAddress,
		Zone: node.Zone, Region: node.Region,
	})
}

func (f *Fleet) startPlatform() error {
	var controls []string
	for _, node := range f.controls() {
		controls = append(controls, node.OperatorAddress)
	}
	arguments := []string{
		"--replicas", f.replicasPath, "--token-file", f.platformTokenPath,
		"--listen", f.platformAddress, "--log", f.eventPath("platform"),
	}
	for _, address := range controls {
		arguments = append(arguments, "--control", address)
	}
	started, err := process.Start(process.Command{
		Name:      "platform",
		Path:      filepath.Join(f.options.Programs, platformProgram),
		Arguments: arguments,
		LogPath:   filepath.Join(f.options.Folder, "logs", "platform.log"),
	})
	if err != nil {
		return err
	}
	f.platform = started
	return nil
}
