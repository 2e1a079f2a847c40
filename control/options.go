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

// Defaults of Options. The defaults of the event loop are in package engine.
const (
	defaultDiscoveryInterval = 250 * time.Millisecond
	defaultCallTimeout       = time.Second
	defaultOperationTimeout  = 10 * time.Second
	defaultInventoryInterval = 500 * time.Millisecond
)

// Options configures a Node. Name, PeerAddress, Network and Store are required. A zero
// duration selects the default.
type Options struct {
	// LinkMbps is the capacity of the node's network link in Mbit/s. Default 100.
	LinkMbps int
	// Name is unique in the fleet; Zone and Region are the node's location.
	Name   string
	Zone   string
	Region string
	// PeerAddress is the host:port at which other processes reach this node.
	// OperatorAddress is the address of the operator API. The node only reports it;
	// the caller listens on it.
	PeerAddress     string
	OperatorAddress string
	// Seeds are peer addresses of other processes, used only to discover the group.
	Seeds []string
	// InitialControl maps the names of the control nodes that bootstrap a new group
	// to their peer addresses. A node that is not listed only joins an existing group.
	InitialControl map[string]string

	// Network carries messages; Node starts it, and closes it when it stops.
	Network transport.Network
	// Store persists this member's log and snapshots; Node closes it when it stops.
	Store storage.Store
	// Logger defaults to slog.Default. It should carry the node's name as an attribute.
	Logger *slog.Logger
	// Tokens returns the operator tokens that are currently valid. If it is nil,
	// operations need no token.
	Tokens func() settings.Tokens

	// Lease is the lease timing, which must equal that of the gateways. Default
	// lease.DefaultConfig.
	Lease lease.Config
	// ElectionTimeout and HeartbeatInterval configure the replicated log; see
	// consensus.Config for their defaults.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// StartupTimeout is the minimum time that a restarted member waits for a leader
	// before it starts an election. Default 100 ms.
	StartupTimeout time.Duration
	// Seed seeds the random election timeouts; 0 selects a random seed.
	Seed uint64

	// TickInterval is the maximum time between two ticks of the event loop. Default
	// 25 ms.
	TickInterval time.Duration
	// DiscoveryInterval is the time between two discovery rounds, which run while this
	// node is not a voter or knows no leader. Default 250 ms.
	DiscoveryInterval time.Duration
	// CallTimeout bounds one call to another control node. Default 1 s.
	CallTimeout time.Duration
	// ReplaceAfter is how long a voter must be unreachable, or a new leader must have been
	// elected, before a node at a different address may replace it. Default 1 s.
	ReplaceAfter time.Duration
	// GatewayGrace delays two changes of a gateway's record. It is the time between
	// the expiry of the gateway's lease and the record that it holds none, and the
	// time for which a gateway that was marked down must renew without a gap before
	// it is marked up again. It does not delay marking a gateway down. Default 1 s.
	GatewayGrace time.Duration
	// OperationTimeout is how long an operation waits to be in force at every gateway
	// with a lease, if the request sets no limit. Default 10 s.
	OperationTimeout time.Duration
	// Voters is the target number of voters, if greater than the number at bootstrap:
	// nodes that ask to join are admitted until the group has that many.
	Voters int
	// Inventory, if set, is the source of the replica list. The primary reads it
	// every InventoryInterval, by default 500 ms.
	Inventory         inventory.Source
	InventoryInterval time.Duration

	// SnapshotInterval is the number of log entries applied between two snapshots.
	// Default 4096.
	SnapshotInterval uint64
	// SnapshotBytes is the size of the log entries, in bytes, applied between two
	// snapshots. The log on disk and in memory has about twice that size at most, beside
	// two snapshots on disk. Default 16 MiB.
	SnapshotBytes int
}

// validate checks the fields that have no default.
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

// withDefaults returns a copy in which zero fields are set to their defaults, except
// those that package engine sets.
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
