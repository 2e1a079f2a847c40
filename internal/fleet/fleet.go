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

// Options configures a fleet.
type Options struct {
	Deployment Deployment
	// Programs is the folder with the compiled programs.
	Programs string
	// Folder is the run folder. It must not contain the files of an earlier run.
	Folder string
	// Seed is the seed of the replicas' random behaviour.
	Seed uint64
	// Relays routes connections between nodes through relays, so that links can be cut.
	Relays bool
	// ReplicaRelays also routes connections from gateways to replicas through relays. It
	// has an effect only if Relays is set.
	ReplicaRelays bool
	// Parameters is the path of a parameter file for the model replicas. If it is empty,
	// they use their defaults.
	Parameters string
	// Cold starts the model replicas cold, so that they warm up first.
	Cold bool
	// LogLevel is the log level of the nodes.
	LogLevel string
	// Environment holds additional environment variables of the nodes, as NAME=value.
	Environment []string
}

// Fleet is a deployment on one machine. Its methods are safe for concurrent use.
type Fleet struct {
	// Log is the event log of the fleet itself, for inventory and faults.
	Log *eventlog.Writer
	// Links holds the relays between the nodes.
	Links *relay.Network
	// Token authorizes operators.
	Token string

	options   Options
	block     *addressBlock
	relayHost string
	// initialControl holds the peer addresses of the initial control nodes by name.
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

// New prepares a run: it allocates addresses and writes settings, keys, tokens and the
// replica list. It does not start any process. Close releases all resources.
func New(options Options) (*Fleet, error) {
	for _, name := range []string{settingsFolder, dataFolder, logFolder, eventFolder, secretFolder} {
		if err := os.MkdirAll(filepath.Join(options.Folder, name), 0o700); err != nil {
			return nil, fmt.Errorf("creating the run folder: %w", err)
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

// prepare writes all files that the processes read. Secrets and addresses come before the
// settings, which contain the paths of the secret files and the addresses of all nodes and
// replicas.
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
	if err := f.addMembers(); err != nil {
		return err
	}
	for _, node := range f.nodes {
		if err := f.writeSettings(node); err != nil {
			return err
		}
	}
	return f.writeInventory()
}

// Close kills every process that the fleet started and releases its addresses. Calls after
// the first have no effect.
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

// processesLocked returns all started processes. The caller holds the lock.
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

// OpenLog opens an event log in the event folder. The caller must close it.
func (f *Fleet) OpenLog(name string) (*eventlog.Writer, error) {
	return eventlog.Open(f.eventPath(name), name)
}

func (f *Fleet) logPath(name string) string {
	return filepath.Join(f.options.Folder, logFolder, name+".log")
}
