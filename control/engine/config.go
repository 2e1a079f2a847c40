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
	DefaultReplaceAfter     = 3 * time.Second
	DefaultGatewayGrace     = time.Second
	DefaultSnapshotInterval = 4096 // entries
	DefaultLinkMbps         = 100
)

// Config sets up an Engine. Name, PeerAddress, Network, Store and Logger are
// required; every other zero value stands for its default.
type Config struct {
	// Name, PeerAddress and Zone describe this node as a member of the group.
	Name        string
	PeerAddress string
	Zone        string
	// LinkMbps is what the node's network link carries, in Mbit/s.
	LinkMbps int

	Network transport.Network
	Store   storage.Store
	Logger  *slog.Logger

	// Lease are the terms that gateways use too. Default lease.DefaultConfig.
	Lease lease.Config
	// GatewayGrace is how long after the end of its lease a gateway is marked
	// down, and how long a lease must last before it is marked up again.
	GatewayGrace time.Duration

	// ElectionTimeout, HeartbeatInterval, StartupTimeout and Seed are passed to the
	// replicated log. A Seed of 0 is replaced by a random one.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	StartupTimeout    time.Duration
	Seed              uint64
	// TickInterval is the longest time between two readings of the clock.
	TickInterval time.Duration
	// SnapshotInterval is the number of entries applied between two snapshots.
	SnapshotInterval uint64

	// ReplaceAfter is how long a voter must be unreachable before a node with
	// another address may replace it.
	ReplaceAfter time.Duration
	// Voters is the number of voters of a complete group, if above that of its
	// bootstrap.
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
