package fleet

import (
	"path/filepath"
	"strconv"

	"github.com/deckpulley/deckpulley/internal/fleet/process"
)

// Replica is a replica stand-in of the fleet.
type Replica struct {
	ID      string
	Service string
	// Kind is the kind of the replica's service: KindModel or KindWeb.
	Kind    string
	Zone    string
	Region  string
	Address string
	// Cold makes the replica start cold the next time.
	Cold bool

	number  int              // starts at 1; part of the replica's seed
	process *process.Process // nil before the first start
}

// Running reports whether the replica's process is running.
func (r *Replica) Running() bool { return r.process != nil && r.process.Running() }

func (f *Fleet) newReplica(id, kind string, plan RegionPlan) (*Replica, error) {
	addresses, err := f.allocate(1)
	if err != nil {
		return nil, err
	}
	service := f.options.Deployment.ModelService
	if kind == KindWeb {
		service = f.options.Deployment.WebService
	}
	return &Replica{
		ID: id, Service: service, Kind: kind, Zone: plan.Zone, Region: plan.Name,
		Address: addresses[0], number: len(f.replicas) + 1,
	}, nil
}

// replicaSeeds is the number of replica seeds derived from each fleet seed.
const replicaSeeds = 1000

func (f *Fleet) startReplica(replica *Replica) error {
	arguments := []string{
		"--id", replica.ID, "--service", replica.Service, "--zone", replica.Zone, "--region", replica.Region,
		"--listen", replica.Address, "--kind", replica.Kind,
		"--log", f.eventPath(replica.ID),
		"--seed", strconv.FormatUint(f.options.Seed*replicaSeeds+uint64(replica.number), 10),
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
		LogPath:   f.logPath(replica.ID),
	})
	if err != nil {
		return err
	}
	replica.process = started
	return nil
}
