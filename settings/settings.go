// Package settings reads and validates the settings file of one node: its name,
// location, role, addresses and seeds. Loading is strict: an unknown field or an invalid
// value is an error that states the file, the field and the reason.
package settings

import "time"

// Role selects which of the two daemons a node runs.
type Role string

const (
	// RoleControl is the role of a control node. Control nodes store the registry.
	RoleControl Role = "control"
	// RoleGateway is the role of a gateway, which routes callers' requests.
	RoleGateway Role = "gateway"
)

// Duration is a time.Duration that is written with a unit in the file, as in "300ms" or
// "2s".
type Duration time.Duration

// Settings is the content of a settings file (YAML). The daemons' flags override it. An
// address is an IP address and a port, written IP:port below; host names are rejected.
type Settings struct {
	// Name is unique in the fleet and stays the same for the lifetime of the machine.
	Name string `yaml:"name"`
	// Role is the role of the daemon; LoadFor sets it if the file does not.
	Role Role `yaml:"role"`
	// Zone is the availability zone that the node is in.
	Zone string `yaml:"zone"`
	// Region is the region that the zone belongs to.
	Region string `yaml:"region"`
	// PeerAddress is the IP:port at which the fleet's own processes reach this node.
	PeerAddress string `yaml:"peer_address"`
	// CallerAddress is the IP:port at which a gateway serves callers.
	CallerAddress string `yaml:"caller_address,omitempty"`
	// HTTPAddress is the IP:port at which a gateway serves requests that are routed by
	// host and path. If it is empty, the gateway does not serve such requests.
	HTTPAddress string `yaml:"http_address,omitempty"`
	// HTTPBounds limits what all gateways together send for requests at HTTPAddress.
	HTTPBounds HTTPBounds `yaml:"http_bounds,omitempty"`
	// LinkMbps is the bandwidth of a gateway's network link in Mbit/s, or 0 if unknown.
	// In each region, the gateways with the highest bandwidth aggregate the loads of the
	// other gateways.
	LinkMbps int `yaml:"link_mbps,omitempty"`
	// OperatorAddress is the IP:port for operators, the platform and metrics.
	OperatorAddress string `yaml:"operator_address"`
	// Seeds are the peer addresses of other processes of the fleet, which the node uses
	// only for its first contact with the fleet. Three are recommended.
	Seeds []string `yaml:"seeds"`
	// DataFolder is the folder in which a control node stores its state. It must exist.
	DataFolder string `yaml:"data_folder,omitempty"`
	// InitialControl has the control nodes that bootstrap a new group, as peer addresses
	// by node name. It must be the same on each of these nodes. It is ignored once the
	// group exists.
	InitialControl map[string]string `yaml:"initial_control,omitempty"`
	// KeyFile is the path of the fleet's keys, one per line in hexadecimal, newest first.
	KeyFile string `yaml:"key_file"`
	// TokenFile is the path of the operators' tokens, one "name token" per line.
	TokenFile string `yaml:"token_file,omitempty"`

	Log   Log   `yaml:"log,omitempty"`
	Lease Lease `yaml:"lease,omitempty"`
	Watch Watch `yaml:"watch,omitempty"`

	// DialOverrides maps addresses to those that are dialed instead. Tests use it to
	// connect through relays.
	DialOverrides map[string]string `yaml:"dial_overrides,omitempty"`

	file string // path of the file that the settings were loaded from
}

// HTTPBounds limits what gateways send to the replicas of services that are reached by
// host and path. Zero selects the default of a field.
type HTTPBounds struct {
	// RetryRatio is the maximum ratio of retries to requests, from 0 to 1. The first
	// attempt of a request is not a retry. Default 0.2.
	RetryRatio float64 `yaml:"retry_ratio,omitempty"`
	// WarmupOvershoot is the maximum ratio, at least 1, of the rate that is sent to a
	// replica that is warming up to the rate that it can sustain. Default 1.5.
	WarmupOvershoot float64 `yaml:"cold_overshoot,omitempty"`
}

// Log sets the level and the format of the log.
type Log struct {
	Level  string `yaml:"level,omitempty"`  // debug, info, warn or error; default info
	Format string `yaml:"format,omitempty"` // text or json; default text
}

// Lease overrides fields of lease.DefaultConfig. It must be the same on every node.
// Zero selects the default of a field.
type Lease struct {
	Length    Duration `yaml:"length,omitempty"`
	Margin    Duration `yaml:"margin,omitempty"`
	QuorumAge Duration `yaml:"quorum_age,omitempty"`
	Renewal   Duration `yaml:"renewal,omitempty"`
}

// Watch sets how gateways poll the status reports of replicas.
type Watch struct {
	// Interval is the time between two polls of the same replica. Default 500 ms.
	Interval Duration `yaml:"interval,omitempty"`
	// Timeout is the timeout of one poll. Default 1 s.
	Timeout Duration `yaml:"timeout,omitempty"`
}
