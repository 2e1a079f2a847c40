package engine

import (
	"log/slog"
	"time"

	"github.com/deckpulley/deckpulley/control/identity"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/storage"
	"github.com/deckpulley/deckpulley/transport"
)

// Defaults of Config.
const (
	DefaultTickInterval     = 25 * time.Millisecond
	DefaultStartupTimeout   = 100 * time.Millisecond
	DefaultReplaceAfter     = time.Second
	DefaultGatewayGrace     = time.Second
	DefaultSnapshotInterval = 4096     // entries
	DefaultSnapshotBytes    = 16 << 20 // bytes
	DefaultLinkMbps         = 100
)

// Config configures an Engine. Name, PeerAddress, Network, Store and Logger are
// required. For the other fields, zero selects the default.
type Config struct {
	// Name, PeerAddress and Zone describe this node as a member of the group.
	Name        string
	PeerAddress string
	Zone        string
	// LinkMbps is the capacity of the node's network link in Mbit/s.
	LinkMbps int

	Network transport.Network
	Store   storage.Store
	Logger  *slog.Logger

	// Lease is the lease timing, which must equal that of the gateways. Default
	// lease.DefaultConfig.
	Lease lease.Config
	// GatewayGrace delays two changes of a gateway's record. It is the time between
	// the expiry of the gateway's lease and the record that it holds none
	// (MayHoldLease), and the time for which a gateway that was marked down must renew
	// without a gap before it is marked up again. It does not delay marking a gateway
	// down, which follows leases.MissedRenewals.
	GatewayGrace time.Duration

	// ElectionTimeout, HeartbeatInterval, StartupTimeout and Seed configure the
	// replicated log, see consensus.Config. A Seed of 0 selects a random seed.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	StartupTimeout    time.Duration
	Seed              uint64
	// TickInterval is the maximum time between two ticks of the event loop.
	TickInterval time.Duration
	// SnapshotInterval is the number of log entries applied between two snapshots.
	SnapshotInterval uint64
	// SnapshotBytes is the size of the log entries, in bytes, applied between two
	// snapshots. It bounds the log on disk and in memory to about twice as much; a smaller
	// value costs more frequent snapshots, which have the size of the registry.
	SnapshotBytes int

	// ReplaceAfter is how long a voter must be unreachable, or a new leader must have been
	// elected, before a node at a different address may replace it. Until then the loss of
	// another voter may end the group; a shorter time replaces voters that pause, if such a
	// node runs.
	ReplaceAfter time.Duration
	// InitialControl has the control nodes that bootstrap a new group, as peer addresses
	// by name; empty if this node only joins an existing group.
	InitialControl map[string]string
	// Voters is the number of voters of a complete group, if greater than the number
	// at its bootstrap.
	Voters int
}

func (c Config) withDefaults() Config {
	if c.Lease == (lease.Config{}) {
		c.Lease = lease.DefaultConfig()
	}
	setDefault(&c.TickInterval, DefaultTickInterval)
	setDefault(&c.StartupTimeout, DefaultStartupTimeout)
	setDefault(&c.ReplaceAfter, DefaultReplaceAfter)
	setDefault(&c.GatewayGrace, DefaultGatewayGrace)
	if c.LinkMbps <= 0 {
		c.LinkMbps = DefaultLinkMbps
	}
	if c.SnapshotInterval == 0 {
		c.SnapshotInterval = DefaultSnapshotInterval
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = DefaultSnapshotBytes
	}
	if c.Seed == 0 {
		c.Seed = identity.NewSeed()
	}
	return c
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}
