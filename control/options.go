package control

import (
	"errors"
	"log/slog"
	"time"

	"github.com/deckpulley/deckpulley/control/inventory"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/settings"
	"github.com/deckpulley/deckpulley/storage"
	"github.com/deckpulley/deckpulley/transport"
)

// Defaults of Options. Those of the event loop are in package engine.
const (
	defaultDiscoveryInterval = 250 * time.Millisecond
	defaultCallTimeout       = time.Second
	defaultOperationTimeout  = 10 * time.Second
	defaultInventoryInterval = 500 * time.Millisecond
)

// Options sets up a Node. Network, Store and the names are required; every
// zero duration stands for its default.
type Options struct {
	// LinkMbps is what the node's network link carries, in Mbit/s. Default 100.
	LinkMbps int
	// Name is unique in the fleet; Zone and Region say where the node stands.
	Name   string
	Zone   string
	Region string
	// PeerAddress is where other processes reach this node (host:port).
	// OperatorAddress is reported to operators; Node does not bind it.
	PeerAddress     string
	OperatorAddress string
	// Seeds are peer addresses of other processes, for a first contact only.
	Seeds []string
	// InitialControl maps the names of the control nodes that form a new group
	// to their peer addresses. A node that it does not list only joins.
	InitialControl map[string]string

	// Network carries messages; Node starts it, and closes it when it ends.
	Network transport.Network
	// Store is this member's disk; Node closes it when it ends.
	Store storage.Store
	// Logger defaults to slog.Default. It should name the node.
	Logger *slog.Logger
	// Tokens returns the operators' tokens as they are now; nil permits operations
	// without one.
	Tokens func() settings.Tokens

	// Lease are the terms that gateways use too. Default lease.DefaultConfig.
	Lease lease.Config
	// ElectionTimeout and HeartbeatInterval are passed to the replicated log, which
	// has their defaults.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// StartupTimeout is the least time from the start to an election of a node
	// that was a member before. Default 100 ms.
	StartupTimeout time.Duration
	// Seed drives the random election timeouts; 0 draws one.
	Seed uint64

	// TickInterval is the longest time between two readings of the clock. Default
	// 25 ms.
	TickInterval time.Duration
	// DiscoveryInterval is the time between two rounds of asking other nodes for
	// the group, while this node is not a voter with a leader. Default 250 ms.
	DiscoveryInterval time.Duration
	// CallTimeout bounds one call to another control node. Default 1 s.
	CallTimeout time.Duration
	// ReplaceAfter is how long a voter must be unreachable before a node with
	// another address may replace it. Default 3 s.
	ReplaceAfter time.Duration
	// GatewayGrace is how long after the end of its lease a gateway is marked
	// down, and how long a lease must last before it is marked up again. Default 1 s.
	GatewayGrace time.Duration
	// OperationTimeout is how long an operation may wait to be in force when its sender
	// does not say. Default 10 s.
	OperationTimeout time.Duration
	// Voters is the number of voters of a complete group, if above that of its
	// bootstrap: nodes that ask to join are admitted until there are so many.
	Voters int
	// Inventory, if set, is read by the primary for the list of replicas, every
	// InventoryInterval, by default 500 ms.
	Inventory         inventory.Source
	InventoryInterval time.Duration

	// SnapshotInterval is the number of entries applied between two snapshots.
	// Default 4096.
	SnapshotInterval uint64
}

// validate checks what has no default.
func (o *Options) validate() error {
	switch {
	case o.Name == "":
		return errors.New("control: options: name is empty")
	case o.PeerAddress == "":
		return errors.New("control: options: peer address is empty")
	case o.Network == nil:
		return errors.New("control: options: no network")
	case o.Store == nil:
		return errors.New("control: options: no store")
	}
	return nil
}

// withDefaults fills in what is zero and is not left to package engine.
func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.Lease == (lease.Config{}) {
		o.Lease = lease.DefaultConfig()
	}
	setDefault(&o.DiscoveryInterval, defaultDiscoveryInterval)
	setDefault(&o.CallTimeout, defaultCallTimeout)
	setDefault(&o.OperationTimeout, defaultOperationTimeout)
	setDefault(&o.InventoryInterval, defaultInventoryInterval)
	return o
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}
