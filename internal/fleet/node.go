package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/deckpulley/deckpulley/internal/fleet/process"
	"github.com/deckpulley/deckpulley/internal/freeport"
	"github.com/deckpulley/deckpulley/settings"
)

// Node is one daemon of the fleet.
type Node struct {
	Name   string
	Role   settings.Role
	Zone   string
	Region string

	PeerAddress     string
	OperatorAddress string
	// CallerAddress is set for gateways.
	CallerAddress string
	// DataFolder is set for control nodes.
	DataFolder string

	settingsPath string
	process      *process.Process
	starts       int
}

// HealthAddress is where the node answers for its health.
func (n *Node) HealthAddress() string {
	if n.Role == settings.RoleGateway {
		return n.CallerAddress
	}
	return n.OperatorAddress
}

// Running reports whether the node's process runs.
func (n *Node) Running() bool { return n.process != nil && n.process.Running() }

// Usage reads what the kernel counts for the node's process.
func (n *Node) Usage() (process.Usage, error) {
	if !n.Running() {
		return process.Usage{}, fmt.Errorf("%s does not run", n.Name)
	}
	return n.process.ReadUsage()
}

// Ports of a node.
const (
	controlPorts = 2
	gatewayPorts = 3
)

// newNode gives a node its addresses and, for a control node, its data folder.
func (f *Fleet) newNode(name string, role settings.Role, plan RegionPlan) (*Node, error) {
	host, err := f.block.host()
	if err != nil {
		return nil, err
	}
	count := controlPorts
	if role == settings.RoleGateway {
		count = gatewayPorts
	}
	ports, err := freeport.Addresses(host, count)
	if err != nil {
		return nil, err
	}
	node := &Node{
		Name: name, Role: role, Zone: plan.Zone, Region: plan.Name,
		PeerAddress: ports[0], OperatorAddress: ports[1],
		settingsPath: filepath.Join(f.options.Folder, "settings", name+".yaml"),
	}
	if role == settings.RoleGateway {
		node.CallerAddress = ports[2]
		return node, nil
	}
	node.DataFolder = filepath.Join(f.options.Folder, "data", name)
	if err := os.MkdirAll(node.DataFolder, 0o700); err != nil {
		return nil, fmt.Errorf("making the data folder of %s: %w", name, err)
	}
	return node, nil
}

// seedCount is how many other processes a node is told of.
const seedCount = 3

// writeSettings writes the node's settings file.
func (f *Fleet) writeSettings(node *Node) error {
	file := settings.Settings{
		Name: node.Name, Role: node.Role, Zone: node.Zone, Region: node.Region,
		PeerAddress: node.PeerAddress, OperatorAddress: node.OperatorAddress,
		CallerAddress: node.CallerAddress, DataFolder: node.DataFolder,
		Seeds:   f.seedsFor(node),
		KeyFile: f.keyPath, TokenFile: f.tokenPath,
		Log: settings.Log{Level: f.options.LogLevel},
	}
	if node.Role == settings.RoleControl {
		file.InitialControl = f.initialControl
	}
	overrides, err := f.overridesFor(node)
	if err != nil {
		return err
	}
	file.DialOverrides = overrides
	text, err := yaml.Marshal(&file)
	if err != nil {
		return fmt.Errorf("writing the settings of %s: %w", node.Name, err)
	}
	if err := os.WriteFile(node.settingsPath, text, 0o600); err != nil {
		return fmt.Errorf("writing the settings of %s: %w", node.Name, err)
	}
	return nil
}

// seedsFor names three other processes, control nodes first.
func (f *Fleet) seedsFor(node *Node) []string {
	var seeds []string
	for _, other := range append(f.controls(), f.gateways()...) {
		if other != node && len(seeds) < seedCount {
			seeds = append(seeds, other.PeerAddress)
		}
	}
	return seeds
}

// overridesFor opens the relays for the links that the node dials.
func (f *Fleet) overridesFor(node *Node) (map[string]string, error) {
	overrides := map[string]string{}
	if !f.options.Relays {
		return nil, nil
	}
	for _, other := range f.nodes {
		if other == node {
			continue
		}
		address, err := f.Links.Link(f.relayHost, node.Name, other.Name, other.PeerAddress)
		if err != nil {
			return nil, err
		}
		overrides[other.PeerAddress] = address
	}
	if node.Role != settings.RoleGateway || !f.options.ReplicaRelays {
		return overrides, nil
	}
	for _, replica := range f.replicas {
		address, err := f.Links.Link(f.relayHost, node.Name, replica.ID, replica.Address)
		if err != nil {
			return nil, err
		}
		overrides[replica.Address] = address
	}
	return overrides, nil
}

// Programs of the daemons.
const (
	controlProgram  = "deckpulley-control"
	gatewayProgram  = "deckpulley-gateway"
	replicaProgram  = "standin-replica"
	platformProgram = "standin-platform"
)

func (f *Fleet) startNode(node *Node) error {
	program := controlProgram
	if node.Role == settings.RoleGateway {
		program = gatewayProgram
	}
	node.starts++
	started, err := process.Start(process.Command{
		Name:        node.Name,
		Path:        filepath.Join(f.options.Programs, program),
		Arguments:   []string{"--settings", node.settingsPath},
		Environment: f.options.Environment,
		LogPath:     filepath.Join(f.options.Folder, "logs", node.Name+".log"),
	})
	if err != nil {
		return err
	}
	node.process = started
	return nil
}

// tail is the end of a node's log, for messages.
func (f *Fleet) tail(name string) string {
	text, err := os.ReadFile(filepath.Join(f.options.Folder, "logs", name+".log"))
	if err != nil {
		return ""
	}
	const lines = 5
	list := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(list[max(0, len(list)-lines):], "\n")
}
