// Package settings is one node's settings file: where it is, which role it has
// and whom it asks first. Loading is strict: an unknown field or a wrong value
// is an error that names file, field and reason.
package settings

import "time"

// Role is a node's part.
type Role string

const (
	RoleControl Role = "control"
	RoleGateway Role = "gateway"
)

// Duration is a time.Duration written as "300ms" or "2s" in the file.
type Duration time.Duration

// Settings is the whole file (YAML). Flags of the daemons overrule it.
type Settings struct {
	// Name is unique in the fleet and stays with the machine.
	Name   string `yaml:"name"`
	Role   Role   `yaml:"role"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// PeerAddress is the host:port for our own processes.
	PeerAddress string `yaml:"peer_address"`
	// CallerAddress is a gateway's host:port for callers.
	CallerAddress string `yaml:"caller_address,omitempty"`
	// HTTPAddress is a gateway's host:port for requests that are routed by host
	// and path; empty for none.
	HTTPAddress string `yaml:"http_address,omitempty"`
	// HTTPBounds are what all gateways together are granted at the HTTP address.
	HTTPBounds HTTPBounds `yaml:"http_bounds,omitempty"`
	// LinkMbps is what a gateway's network link carries, in Mbit/s. In each region the
	// gateways with the widest links add the loads up for the others. 0 is not told.
	LinkMbps int `yaml:"link_mbps,omitempty"`
	// OperatorAddress is the host:port for operators, the platform and metrics.
	OperatorAddress string `yaml:"operator_address"`
	// Seeds are peers' addresses of three other processes, a first contact only.
	Seeds []string `yaml:"seeds"`
	// DataFolder holds a control node's files.
	DataFolder string `yaml:"data_folder,omitempty"`
	// InitialControl names the control nodes (name to peers' address) that form a
	// new group together, the same on each of them. Ignored once a group exists.
	InitialControl map[string]string `yaml:"initial_control,omitempty"`
	// KeyFile holds the fleet's keys, one a line in hexadecimal, newest first.
	KeyFile string `yaml:"key_file"`
	// TokenFile holds the operators' tokens, one "name token" a line.
	TokenFile string `yaml:"token_file,omitempty"`

	Log   Log   `yaml:"log,omitempty"`
	Lease Lease `yaml:"lease,omitempty"`
	Watch Watch `yaml:"watch,omitempty"`

	// DialOverrides replaces addresses when dialling, for tests behind relays.
	DialOverrides map[string]string `yaml:"dial_overrides,omitempty"`

	file string
}

// HTTPBounds bound what gateways send to the replicas of services that are reached
// by host and path. 0 stands for the default.
type HTTPBounds struct {
	// RetryRatio bounds attempts beyond the first of each request, over the requests.
	// Default 0.2.
	RetryRatio float64 `yaml:"retry_ratio,omitempty"`
	// WarmupOvershoot is the factor by which a cold replica may get more than it bears.
	// Default 1.5.
	WarmupOvershoot float64 `yaml:"cold_overshoot,omitempty"`
}

// Log says how to log.
type Log struct {
	Level  string `yaml:"level,omitempty"`  // debug, info, warn, error; default info
	Format string `yaml:"format,omitempty"` // text or json; default text
}

// Lease overrules lease.DefaultConfig; the same on every node.
type Lease struct {
	Length    Duration `yaml:"length,omitempty"`
	Margin    Duration `yaml:"margin,omitempty"`
	QuorumAge Duration `yaml:"quorum_age,omitempty"`
	Renewal   Duration `yaml:"renewal,omitempty"`
}

// Watch sets how gateways watch replicas.
type Watch struct {
	// Interval between polls of one replica's report. Default 500 ms.
	Interval Duration `yaml:"interval,omitempty"`
	// Timeout of one poll. Default 1 s.
	Timeout Duration `yaml:"timeout,omitempty"`
}
