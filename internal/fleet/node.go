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

// Node is a control node or a gateway of the fleet.
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

// HealthAddress returns the address at which the node serves health checks.
func (n *Node) HealthAddress() string {
	if n.Role == settings.RoleGateway {
		return n.CallerAddress
	}
	return n.OperatorAddress
}

// Running reports whether the node's process is running.
func (n *Node) Running() bool { return n.process != nil && n.process.Running() }

// Usage returns the resource usage of the node's process. It fails if the node is not
// running.
func (n *Node) Usage() (process.Usage, error) {
	if !n.Running() {
		return process.Usage{}, fmt.Errorf("%s is not running", n.Name)
	}
	return n.process.ReadUsage()
}

// Number of ports of a node, by role.
const (
	controlPorts = 2
	gatewayPorts = 3
)

// newNode returns a node with allocated addresses. For a control node it also creates an
// empty data folder.
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
		return nil, fmt.Errorf("creating the data folder of %s: %w", name, err)
	}
	return node, nil
}

// seedCount is the maximum number of seeds in a node's settings.
const seedCount = 3

// writeSettings writes the node's settings file.
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

// seedsFor returns the peer addresses of up to seedCount other nodes, control nodes first.
func (f *Fleet) seedsFor(node *Node) []string {
	var seeds []string
	for _, other := range append(f.controlsLocked(), f.gatewaysLocked()...) {
		if other != node && len(seeds) < seedCount {
			seeds = append(seeds, other.PeerAddress)
		}
	}
	return seeds
}

// dialOverrides opens a relay for each address that the node dials. It returns the relay
// addresses by target address, or nil if relays are disabled.
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

// File names of the programs.
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

// logTailLines is the number of log lines included in an error.
const logTailLines = 5

// logTail returns the last lines of a process's log, or "" if the log cannot be read.
func (f *Fleet) logTail(name string) string {
	text, err := os.ReadFile(f.logPath(name))
	if err != nil {
		return ""
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-logTailLines):], "\n")
}
