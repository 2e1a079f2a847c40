package fleet

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/internal/fleet/process"
	"github.com/deckpulley/deckpulley/internal/fleet/relay"
	"github.com/deckpulley/deckpulley/internal/freeport"
	"github.com/deckpulley/deckpulley/settings"
)

// Options say what to run and where.
type Options struct {
	Deployment Deployment
	// Programs is the folder of the built programs.
	Programs string
	// Folder is the run folder; it must not hold an earlier run.
	Folder string
	Seed   uint64
	// Relays puts relays into the links between our own nodes, and ReplicaRelays
	// also into those from gateways to replicas.
	Relays        bool
	ReplicaRelays bool
	// Parameters is a file for the model replicas; empty is their default.
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
	// Log takes the fleet's own events: inventory and faults.
	Log *eventlog.Writer
	// Links are the relays between the nodes.
	Links *relay.Network
	// Token authorizes operators.
	Token string

	options        Options
	block          *addressBlock
	relayHost      string
	initialControl map[string]string

	keyPath, tokenPath              string
	platformTokenPath, replicasPath string
	platformAddress                 string

	mutex    sync.Mutex
	nodes    []*Node
	replicas []*Replica
	platform *process.Process
	closed   bool
}

// folders of a run.
var folders = []string{"settings", "data", "logs", "events", "secrets"}

// New prepares a run: addresses, settings, keys, tokens and lists. Close frees
// what it holds.
func New(options Options) (*Fleet, error) {
	for _, name := range folders {
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

func (f *Fleet) prepare() error {
	log, err := eventlog.Open(f.eventPath("fleet"), "fleet")
	if err != nil {
		return err
	}
	f.Log = log
	if f.relayHost, err = f.block.host(); err != nil {
		return err
	}
	if err := f.writeSecrets(); err != nil {
		return err
	}
	if err := f.layOut(); err != nil {
		return err
	}
	for _, node := range f.nodes {
		if err := f.writeSettings(node); err != nil {
			return err
		}
	}
	return f.writeInventory()
}

const secretBytes = 32

func randomSecret() string {
	secret := make([]byte, secretBytes)
	rand.Read(secret)
	return hex.EncodeToString(secret)
}

// writeSecrets writes the fleet's key and the tokens of operator and platform.
func (f *Fleet) writeSecrets() error {
	folder := filepath.Join(f.options.Folder, "secrets")
	f.keyPath = filepath.Join(folder, "keys")
	f.tokenPath = filepath.Join(folder, "tokens")
	f.platformTokenPath = filepath.Join(folder, "platform.token")
	f.replicasPath = filepath.Join(f.options.Folder, "replicas.json")
	f.Token = randomSecret()
	platformToken := randomSecret()
	files := map[string]string{
		f.keyPath:           randomSecret() + "\n",
		f.tokenPath:         "operator " + f.Token + "\nplatform " + platformToken + "\n",
		f.platformTokenPath: platformToken + "\n",
	}
	for path, text := range files {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return fmt.Errorf("writing secrets: %w", err)
		}
	}
	return nil
}

// layOut names the nodes and replicas and gives them addresses.
func (f *Fleet) layOut() error {
	f.initialControl = map[string]string{}
	for _, plan := range f.options.Deployment.Regions {
		node, err := f.newNode("control-"+plan.Name, settings.RoleControl, plan)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, node)
		f.initialControl[node.Name] = node.PeerAddress
	}
	for _, plan := range f.options.Deployment.Regions {
		if err := f.layOutRegion(plan); err != nil {
			return err
		}
	}
	host, err := f.block.host()
	if err != nil {
		return err
	}
	ports, err := freeport.Addresses(host, 1)
	if err != nil {
		return err
	}
	f.platformAddress = ports[0]
	return nil
}

func (f *Fleet) layOutRegion(plan RegionPlan) error {
	for number := 1; number <= plan.Gateways; number++ {
		node, err := f.newNode(fmt.Sprintf("gateway-%s-%d", plan.Name, number), settings.RoleGateway, plan)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, node)
	}
	for number := 1; number <= plan.Models; number++ {
		if err := f.addReplica(fmt.Sprintf("model-%s-%d", plan.Name, number), KindModel, plan); err != nil {
			return err
		}
	}
	for number := 1; number <= plan.Webs; number++ {
		if err := f.addReplica(fmt.Sprintf("web-%s-%d", plan.Name, number), KindWeb, plan); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) addReplica(id, kind string, plan RegionPlan) error {
	replica, err := f.newReplica(id, kind, plan)
	if err != nil {
		return err
	}
	replica.Cold = f.options.Cold && kind == KindModel
	f.replicas = append(f.replicas, replica)
	return nil
}

// EventFolder holds the event logs of the run.
func (f *Fleet) EventFolder() string { return filepath.Join(f.options.Folder, "events") }

func (f *Fleet) eventPath(name string) string {
	return filepath.Join(f.EventFolder(), name+".jsonl")
}

// OpenLog opens an event log of the run.
func (f *Fleet) OpenLog(name string) (*eventlog.Writer, error) {
	return eventlog.Open(f.eventPath(name), name)
}

// StartAll starts replicas and nodes. It does not wait for them to be ready.
func (f *Fleet) StartAll() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, replica := range f.replicas {
		if err := f.startReplica(replica); err != nil {
			return err
		}
	}
	for _, node := range f.nodes {
		if err := f.startNode(node); err != nil {
			return err
		}
	}
	return nil
}

// StartPlatform starts the platform stand-in, which lists the replicas.
func (f *Fleet) StartPlatform() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.startPlatform()
}

// controls and gateways are called with the lock held, or before any start.
func (f *Fleet) controls() []*Node { return f.nodesOf(settings.RoleControl) }
func (f *Fleet) gateways() []*Node { return f.nodesOf(settings.RoleGateway) }

func (f *Fleet) nodesOf(role settings.Role) []*Node {
	var list []*Node
	for _, node := range f.nodes {
		if node.Role == role {
			list = append(list, node)
		}
	}
	return list
}

// Controls lists the control nodes.
func (f *Fleet) Controls() []*Node {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.controls()
}

// Gateways lists the gateways.
func (f *Fleet) Gateways() []*Node {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.gateways()
}

// Replicas lists the replicas.
func (f *Fleet) Replicas() []*Replica {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]*Replica(nil), f.replicas...)
}

// Node finds a node by name.
func (f *Fleet) Node(name string) (*Node, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, node := range f.nodes {
		if node.Name == name {
			return node, nil
		}
	}
	return nil, fmt.Errorf("no node %q", name)
}

// Replica finds a replica by its id.
func (f *Fleet) Replica(id string) (*Replica, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, replica := range f.replicas {
		if replica.ID == id {
			return replica, nil
		}
	}
	return nil, fmt.Errorf("no replica %q", id)
}

// stopPatience is how long a node may take to leave when it is asked to.
const stopPatience = 8 * time.Second

// Close ends every process that the fleet started and frees its addresses. It
// may be called again.
func (f *Fleet) Close() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closed {
		return nil
	}
	f.closed = true
	running := f.processesLocked()
	ended := make(chan error, len(running))
	for _, one := range running {
		go func() { ended <- one.Kill() }()
	}
	var all []error
	for range running {
		all = append(all, <-ended)
	}
	f.Links.Close()
	f.block.release()
	if f.Log != nil {
		all = append(all, f.Log.Close())
	}
	return errors.Join(all...)
}

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

// waitStep is the pause between two looks at a condition.
const waitStep = 50 * time.Millisecond

// waitFor calls condition until it holds or ctx ends.
func waitFor(ctx context.Context, condition func() error) error {
	for {
		err := condition()
		if err == nil {
			return nil
		}
		timer := time.NewTimer(waitStep)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("%w: %w", ctx.Err(), err)
		}
	}
}
