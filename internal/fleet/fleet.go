package fleet

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/internal/fleet/process"
	"github.com/deckpulley/deckpulley/internal/fleet/relay"
)

// Options describe a fleet.
type Options struct {
	Deployment Deployment
	// Programs is the folder of the built programs.
	Programs string
	// Folder is the run folder. It must not contain an earlier run.
	Folder string
	// Seed is that of the replicas' random behaviour.
	Seed uint64
	// Relays puts relays into the links between nodes.
	Relays bool
	// ReplicaRelays puts relays also into the links from gateways to replicas, if
	// Relays is set.
	ReplicaRelays bool
	// Parameters is a file for the model replicas; empty means their defaults.
	Parameters string
	// Cold starts the model replicas cold.
	Cold bool
	// LogLevel is the level of the daemons' logs.
	LogLevel string
	// Environment is added to that of the daemons, as NAME=value.
	Environment []string
}

// Fleet is a deployment on one machine. Its methods are safe for concurrent use.
type Fleet struct {
	// Log receives the fleet's own events: inventory and faults.
	Log *eventlog.Writer
	// Links holds the relays between the nodes.
	Links *relay.Network
	// Token authorizes operators.
	Token string

	options   Options
	block     *addressBlock
	relayHost string
	// initialControl holds the peer addresses of the first control nodes by name.
	initialControl map[string]string

	keyPath           string
	tokenPath         string
	platformTokenPath string
	replicasPath      string
	platformAddress   string

	mutex    sync.Mutex
	nodes    []*Node
	replicas []*Replica
	platform *process.Process
	closed   bool
}

// Folders within the run folder.
const (
	settingsFolder = "settings"
	dataFolder     = "data"
	logFolder      = "logs"
	eventFolder    = "events"
	secretFolder   = "secrets"
)

// New prepares a run: addresses, settings, keys, tokens and lists. It starts no
// process. Close releases what the fleet holds.
func New(options Options) (*Fleet, error) {
	for _, name := range []string{settingsFolder, dataFolder, logFolder, eventFolder, secretFolder} {
		if err := os.MkdirAll(filepath.Join(options.Folder, name), 0o700); err != nil {
			return nil, fmt.Errorf("making the run folder: %w", err)
		}
	}
	block, err := reserveBlock()
	if err != nil {
		return nil, err
	}
	f := &Fleet{options: options, block: block, Links: relay.New()}
	if err := f.prepare(); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// prepare writes everything that the processes read. The order matters: settings name
// the addresses of all nodes and replicas, and the files with the secrets.
func (f *Fleet) prepare() error {
	log, err := eventlog.Open(f.eventPath("fleet"), "fleet")
	if err != nil {
		return err
	}
	f.Log = log
	if f.relayHost, err = f.block.allocate(); err != nil {
		return err
	}
	if err := f.writeSecrets(); err != nil {
		return err
	}
	if err := f.addAll(); err != nil {
		return err
	}
	for _, node := range f.nodes {
		if err := f.writeSettings(node); err != nil {
			return err
		}
	}
	return f.writeInventory()
}

// Close kills every process that the fleet started and releases its addresses.
// Further calls have no effect.
func (f *Fleet) Close() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closed {
		return nil
	}
	f.closed = true
	err := killAll(f.processesLocked())
	f.Links.Close()
	f.block.release()
	if f.Log != nil {
		err = errors.Join(err, f.Log.Close())
	}
	return err
}

// killAll kills processes in parallel and waits until all have ended.
func killAll(processes []*process.Process) error {
	ended := make(chan error, len(processes))
	for _, started := range processes {
		go func() { ended <- started.Kill() }()
	}
	var failures []error
	for range processes {
		failures = append(failures, <-ended)
	}
	return errors.Join(failures...)
}

// processesLocked returns every process that was started.
func (f *Fleet) processesLocked() []*process.Process {
	var list []*process.Process
	for _, node := range f.nodes {
		if node.process != nil {
			list = append(list, node.process)
		}
	}
	for _, replica := range f.replicas {
		if replica.process != nil {
			list = append(list, replica.process)
		}
	}
	if f.platform != nil {
		list = append(list, f.platform)
	}
	return list
}

// EventFolder returns the folder of the event logs.
func (f *Fleet) EventFolder() string { return filepath.Join(f.options.Folder, eventFolder) }

func (f *Fleet) eventPath(name string) string {
	return filepath.Join(f.EventFolder(), name+".jsonl")
}

// OpenLog opens an event log in the folder of the run. The caller closes it.
func (f *Fleet) OpenLog(name string) (*eventlog.Writer, error) {
	return eventlog.Open(f.eventPath(name), name)
}

func (f *Fleet) logPath(name string) string {
	return filepath.Join(f.options.Folder, logFolder, name+".log")
}
