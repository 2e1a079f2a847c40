// Package settings is the settings file of one node: its name, location, role,
// addresses and seeds. Loading is strict: an unknown field or a wrong value is an
// error that names file, field and reason.
package settings

import "time"

// Role is what a node runs.
type Role string

const (
	// RoleControl is a node of the control plane, which stores the registry.
	RoleControl Role = "control"
	// RoleGateway is a node that routes callers' requests.
	RoleGateway Role = "gateway"
)

// Duration is a time.Duration written as "300ms" or "2s" in the file.
type Duration time.Duration

// Settings is a settings file (YAML). The daemons' flags override it. Addresses are
// an IP number and a port, host:port below.
type Settings struct {
	// Name is unique in the fleet and stays with the machine.
	Name string `yaml:"name"`
	// Role is the daemon's; LoadFor sets it if the file does not.
	Role Role `yaml:"role"`
	// Zone is the availability zone that the node is in.
	Zone string `yaml:"zone"`
	// Region is the region of the zone.
	Region string `yaml:"region"`
	// PeerAddress is the host:port for the fleet's own processes.
	PeerAddress string `yaml:"peer_address"`
	// CallerAddress is a gateway's host:port for callers.
	CallerAddress string `yaml:"caller_address,omitempty"`
	// HTTPAddress is a gateway's host:port for requests that are routed by host
	// and path; empty for none.
	HTTPAddress string `yaml:"http_address,omitempty"`
	// HTTPBounds bound what all gateways together send for requests at the HTTP address.
	HTTPBounds HTTPBounds `yaml:"http_bounds,omitempty"`
	// LinkMbps is the bandwidth of a gateway's network link, in Mbit/s; 0 if unknown.
	// In each region the gateways with the widest links aggregate the loads of the
	// others.
	LinkMbps int `yaml:"link_mbps,omitempty"`
	// OperatorAddress is the host:port for operators, the platform and metrics.
	OperatorAddress string `yaml:"operator_address"`
	// Seeds are the peers' addresses of three other processes, used for the first
	// contact only.
	Seeds []string `yaml:"seeds"`
	// DataFolder is the folder of a control node's stored state. It must exist.
	DataFolder string `yaml:"data_folder,omitempty"`
	// InitialControl has the peers' addresses by name of the control nodes that
	// bootstrap a new group, the same on each of them. Ignored once a group exists.
	InitialControl map[string]string `yaml:"initial_control,omitempty"`
	// KeyFile holds the fleet's keys, one a line in hexadecimal, newest first.
	KeyFile string `yaml:"key_file"`
	// TokenFile holds the operators' tokens, one "name token" a line.
	TokenFile string `yaml:"token_file,omitempty"`

	Log   Log   `yaml:"log,omitempty"`
	Lease Lease `yaml:"lease,omitempty"`
	Watch Watch `yaml:"watch,omitempty"`

	// DialOverrides replaces addresses when connecting, for tests behind relays.
	DialOverrides map[string]string `yaml:"dial_overrides,omitempty"`

	file string // that they were loaded from
}

// HTTPBounds bound what gateways send to the replicas of services that are reached
// by host and path. 0 stands for the default.
type HTTPBounds struct {
	// RetryRatio bounds the attempts beyond the first of each request, over the
	// requests, 0 to 1. Default 0.2.
	RetryRatio float64 `yaml:"retry_ratio,omitempty"`
	// WarmupOvershoot is the factor, at least 1, by which the rate sent to a replica that
	// warms up may exceed what it sustains. Default 1.5.
	WarmupOvershoot float64 `yaml:"cold_overshoot,omitempty"`
}

// Log is the level and the format of the log.
type Log struct {
	Level  string `yaml:"level,omitempty"`  // debug, info, warn, error; default info
	Format string `yaml:"format,omitempty"` // text or json; default text
}

// Lease overrides lease.DefaultConfig. It must be the same on every node.
type Lease struct {
	Length    Duration `yaml:"length,omitempty"`
	Margin    Duration `yaml:"margin,omitempty"`
	QuorumAge Duration `yaml:"quorum_age,omitempty"`
	Renewal   Duration `yaml:"renewal,omitempty"`
}

// Watch is how gateways poll the status reports of replicas.
type Watch struct {
	// Interval is the time between polls of one replica. Default 500 ms.
	Interval Duration `yaml:"interval,omitempty"`
	// Timeout is that of one poll. Default 1 s.
	Timeout Duration `yaml:"timeout,omitempty"`
}
