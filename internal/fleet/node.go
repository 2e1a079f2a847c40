package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/deckpulley/deckpulley/internal/fleet/process"
	"github.com/deckpulley/deckpulley/settings"
)

// Node is one daemon of the fleet: a control node or a gateway.
type Node struct {
	Name   string
	Role   settings.Role
	Zone   string
	Region string

	PeerAddress     string
	OperatorAddress string
	// CallerAddress is set for gateways only.
	CallerAddress string
	// DataFolder is set for control nodes only.
	DataFolder string

	settingsPath string
	process      *process.Process // nil before the first start
}

// HealthAddress returns the address at which the node answers health checks.
func (n *Node) HealthAddress() string {
	if n.Role == settings.RoleGateway {
		return n.CallerAddress
	}
	return n.OperatorAddress
}

// Running reports whether the node's process runs.
func (n *Node) Running() bool { return n.process != nil && n.process.Running() }

// Usage returns what the kernel counts for the node's process. It fails if the node
// does not run.
func (n *Node) Usage() (process.Usage, error) {
	if !n.Running() {
		return process.Usage{}, fmt.Errorf("%s does not run", n.Name)
	}
	return n.process.ReadUsage()
}

// Numbers of ports of a node.
const (
	controlPorts = 2
	gatewayPorts = 3
)

// newNode returns a node with its addresses and, for a control node, with an empty
// data folder.
func (f *Fleet) newNode(name string, role settings.Role, plan RegionPlan) (*Node, error) {
	count := controlPorts
	if role == settings.RoleGateway {
		count = gatewayPorts
	}
	addresses, err := f.allocate(count)
	if err != nil {
		return nil, err
	}
	node := &Node{
		Name: name, Role: role, Zone: plan.Zone, Region: plan.Name,
		PeerAddress: addresses[0], OperatorAddress: addresses[1],
		settingsPath: filepath.Join(f.options.Folder, settingsFolder, name+".yaml"),
	}
	if role == settings.RoleGateway {
		node.CallerAddress = addresses[2]
		return node, nil
	}
	node.DataFolder = filepath.Join(f.options.Folder, dataFolder, name)
	if err := os.MkdirAll(node.DataFolder, 0o700); err != nil {
		return nil, fmt.Errorf("making the data folder of %s: %w", name, err)
	}
	return node, nil
}

// seedCount is the number of other nodes that a node's settings name as seeds.
const seedCount = 3

// writeSettings writes the node's settings nodeSettings.
func (f *Fleet) writeSettings(node *Node) error {
	nodeSettings := settings.Settings{
		Name: node.Name, Role: node.Role, Zone: node.Zone, Region: node.Region,
		PeerAddress: node.PeerAddress, OperatorAddress: node.OperatorAddress,
		CallerAddress: node.CallerAddress, DataFolder: node.DataFolder,
		Seeds:   f.seedsFor(node),
		KeyFile: f.keyPath, TokenFile: f.tokenPath,
		Log: settings.Log{Level: f.options.LogLevel},
	}
	if node.Role == settings.RoleControl {
		nodeSettings.InitialControl = f.initialControl
	}
	overrides, err := f.dialOverrides(node)
	if err != nil {
		return err
	}
	nodeSettings.DialOverrides = overrides
	text, err := yaml.Marshal(&nodeSettings)
	if err != nil {
		return fmt.Errorf("writing the settings of %s: %w", node.Name, err)
	}
	if err := os.WriteFile(node.settingsPath, text, 0o600); err != nil {
		return fmt.Errorf("writing the settings of %s: %w", node.Name, err)
	}
	return nil
}

// seedsFor returns the peer addresses of other nodes, control nodes first.
func (f *Fleet) seedsFor(node *Node) []string {
	var seeds []string
	for _, other := range append(f.controlsLocked(), f.gatewaysLocked()...) {
		if other != node && len(seeds) < seedCount {
			seeds = append(seeds, other.PeerAddress)
		}
	}
	return seeds
}

// dialOverrides opens the relays for the links that the node dials. It returns the
// relay's address by that of the target; nil without relays.
func (f *Fleet) dialOverrides(node *Node) (map[string]string, error) {
	if !f.options.Relays {
		return nil, nil
	}
	overrides := map[string]string{}
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

// Files of the programs.
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
	started, err := process.Start(process.Command{
		Name:        node.Name,
		Path:        filepath.Join(f.options.Programs, program),
		Arguments:   []string{"--settings", node.settingsPath},
		Environment: f.options.Environment,
		LogPath:     f.logPath(node.Name),
	})
	if err != nil {
		return err
	}
	node.process = started
	return nil
}

// logTailLines is the number of lines of a log that errors quote.
const logTailLines = 5

// logTail returns the end of a process's log, "" if there is none.
func (f *Fleet) logTail(name string) string {
	text, err := os.ReadFile(f.logPath(name))
	if err != nil {
		return ""
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-logTailLines):], "\n")
}
