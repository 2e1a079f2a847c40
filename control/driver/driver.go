// Package driver runs one node of the replicated log: it persists log entries, sends
// messages and applies committed entries as package consensus requests, and owns the
// resulting state.
//
// The tasks of a leader, such as leases and membership repair, are in package engine.
package driver

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/membership"
	"github.com/deckpulley/deckpulley/control/metrics"
	"github.com/deckpulley/deckpulley/control/statemachine"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/storage"
	"github.com/deckpulley/deckpulley/transport"
)

// Config configures a Driver. All fields but ElectionTimeout, HeartbeatInterval and Voters
// are required.
type Config struct {
	Network transport.Network
	Store   storage.Store
	Logger  *slog.Logger
	Metrics *metrics.Metrics

	// ElectionTimeout, HeartbeatInterval, StartupTimeout and Seed configure the
	// replicated log, see consensus.Config.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	StartupTimeout    time.Duration
	Seed              uint64
	// SnapshotInterval is the number of log entries applied between two snapshots.
	SnapshotInterval uint64
	// SnapshotBytes is the size of the log entries, in bytes, applied between two
	// snapshots. Entries of half that size are retained before a snapshot.
	SnapshotBytes int
	// Voters is the number of voters of a complete group, if greater than the number
	// at its bootstrap.
	Voters int
	// InitialControl has the control nodes that bootstrap a new group, as peer addresses
	// by name; empty if this node only joins an existing group.
	InitialControl map[string]string
}

// Driver runs one node of the replicated log. Its methods must be called only on the event
// loop; now is the monotonic time of the event queue.
type Driver struct {
	config   Config
	log      *slog.Logger
	identity consensus.ID

	// cluster is empty and node nil until this node belongs to a group.
	cluster string
	node    *consensus.Node
	// state is nil until this node has a snapshot of the group.
	state *statemachine.State
	// catalog is the typed view of the state's table.
	catalog *catalog.State
	// applied is the index of the newest log entry in the state, and snapshotIndex
	// that of the newest snapshot on disk.
	applied       uint64
	snapshotIndex uint64
	// bytesSinceSnapshot is the size of the entries applied since then.
	bytesSinceSnapshot int

	waiters map[uint64]waiter // by log index
	// addresses are the addresses of members as reported by other nodes.
	addresses map[consensus.ID]string
	// initialControl is Config.InitialControl, or that of an earlier start of the process.
	initialControl map[string]string
	failure        error // a failed write outside of ProcessReady; stops the node
	// suspended is true while this node does not participate because its disk is full.
	suspended bool
}

// New loads the state from the disk, and starts the replicated log if this node belongs to
// a group.
func New(config Config, now time.Duration) (*Driver, error) {
	loaded, err := config.Store.Load()
	if err != nil {
		return nil, fmt.Errorf("control: reading the disk: %w", err)
	}
	d := &Driver{
		config:    config,
		log:       config.Logger,
		identity:  loaded.Identity,
		cluster:   loaded.Cluster,
		waiters:   make(map[uint64]waiter),
		addresses: make(map[consensus.ID]string),
	}
	if err := d.completeGroupEntry(loaded.Snapshot); err != nil {
		return nil, err
	}
	if d.cluster == "" {
		return d, d.recordInitialControl(loaded)
	}
	if err := d.open(loaded, now); err != nil {
		return nil, err
	}
	return d, nil
}

// open starts the replicated log from the state on disk.
func (d *Driver) open(loaded storage.State, now time.Duration) error {
	node, err := consensus.New(consensus.Config{
		ID:                d.identity,
		ElectionTimeout:   d.config.ElectionTimeout,
		StartupTimeout:    d.config.StartupTimeout,
		HeartbeatInterval: d.config.HeartbeatInterval,
		Seed:              d.config.Seed,
		HardState:         loaded.HardState,
		Snapshot:          loaded.Snapshot,
		Entries:           loaded.Entries,
		Applied:           loaded.Snapshot.Index,
	})
	if err != nil {
		return fmt.Errorf("control: opening the replicated log: %w", err)
	}
	d.node = node
	d.node.Tick(now)
	if loaded.Snapshot.Index == 0 {
		return nil
	}
	return d.restore(loaded.Snapshot)
}

// recordInitialControl stores the initial control nodes, before this node answers anybody.
// Only the very first start of a site names them: a process that ends before the group is
// bootstrapped must know them at its next start.
func (d *Driver) recordInitialControl(loaded storage.State) error {
	d.initialControl = loaded.InitialControl
	if len(d.config.InitialControl) == 0 {
		return nil
	}
	d.initialControl = d.config.InitialControl
	if maps.Equal(d.initialControl, loaded.InitialControl) {
		return nil
	}
	if err := d.config.Store.SetInitialControl(d.initialControl); err != nil {
		return fmt.Errorf("control: recording the initial control nodes: %w", err)
	}
	return nil
}

// InitialControl returns the control nodes that bootstrap a new group, as peer addresses by
// name. It is empty if this node only joins an existing group, or belonged to one at its
// start.
func (d *Driver) InitialControl() map[string]string { return d.initialControl }

// Identity returns the identity of this node's disk.
func (d *Driver) Identity() consensus.ID { return d.identity }

// Cluster returns the id of the group; empty until this node belongs to one.
func (d *Driver) Cluster() string { return d.cluster }

// Consensus returns the consensus state machine of this node; nil until it belongs to a group.
func (d *Driver) Consensus() *consensus.Node { return d.node }

// State returns the replicated state; nil until this node has a snapshot of the group.
// The caller must not modify it.
func (d *Driver) State() *statemachine.State { return d.state }

// Catalog returns the typed view of the state's table as of the last ProcessReady; nil
// until there is a state.
func (d *Driver) Catalog() *catalog.State { return d.catalog }

// Applied returns the index of the newest log entry in the state.
func (d *Driver) Applied() uint64 { return d.applied }

// Failure returns the error of a write that failed outside of ProcessReady, which must stop
// the node; nil if there was none.
func (d *Driver) Failure() error { return d.failure }

// Tick advances the clock of the replicated log. It must be called before every other
// input.
func (d *Driver) Tick(now time.Duration) {
	if d.node != nil {
		d.node.Tick(now)
	}
}

// Step passes one message to the replicated log. It returns false if this node belongs to
// no group or the message is from another group.
func (d *Driver) Step(now time.Duration, wrapped peer.ConsensusMessage) bool {
	if d.node == nil || wrapped.Cluster != d.cluster {
		d.config.Metrics.ForeignMessages.Inc()
		return false
	}
	if err := d.node.Step(now, wrapped.Message); err != nil {
		d.log.Debug("consensus message rejected", "from", string(wrapped.Message.From), "error", err)
	}
	return true
}

// ProcessReady does one batch of the replicated log's work. For safety it persists entries
// before it sends messages, and then applies committed entries. It calls applied after each
// applied entry.
func (d *Driver) ProcessReady(applied func(consensus.Entry)) error {
	ready := d.node.Ready()
	if err := d.persist(ready); err != nil {
		return err
	}
	d.send(ready.Messages)
	if ready.Snapshot != nil {
		if err := d.install(*ready.Snapshot); err != nil {
			return err
		}
	}
	for _, entry := range ready.CommittedEntries {
		if err := d.apply(entry); err != nil {
			return err
		}
		applied(entry)
	}
	if err := d.updateCatalog(); err != nil {
		return err
	}
	d.node.Advance(ready)
	return d.compact()
}

// persist syncs the state that the batch's messages depend on.
func (d *Driver) persist(ready consensus.Ready) error {
	if ready.Snapshot == nil && ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	start := time.Now()
	if err := storage.Persist(d.config.Store, ready); err != nil {
		return fmt.Errorf("control: writing the log: %w", err)
	}
	d.config.Metrics.SyncSeconds.Observe(time.Since(start).Seconds())
	return nil
}

// send sends messages to the members. A message to a member without a known address is
// dropped; discovery will find the address.
func (d *Driver) send(messages []consensus.Message) {
	if len(messages) == 0 {
		return
	}
	current := d.node.CurrentMembership()
	for _, message := range messages {
		address := d.AddressOf(current, message.To)
		if address == "" {
			d.config.Metrics.UnknownAddresses.Inc()
			continue
		}
		d.config.Network.Send(address, peer.KindConsensus, peer.ConsensusMessage{Cluster: d.cluster, Message: message})
	}
}

// AddressOf returns a member's peer address from the membership, or else as reported by
// other nodes; empty if unknown.
func (d *Driver) AddressOf(current consensus.Membership, id consensus.ID) string {
	if member, found := membership.Find(current, id); found {
		return member.Address
	}
	return d.addresses[id]
}

// RecordAddresses records addresses of members that may not be in this node's membership
// yet.
func (d *Driver) RecordAddresses(members []consensus.Member) {
	for _, member := range members {
		if member.ID != consensus.None {
			d.addresses[member.ID] = member.Address
		}
	}
}

// apply applies one committed entry and answers the proposal that waits for it.
func (d *Driver) apply(entry consensus.Entry) error {
	var result registry.Result
	switch entry.Kind {
	case consensus.EntryNormal:
		update, err := registry.DecodeUpdate(entry.Data)
		if err != nil {
			return fmt.Errorf("control: committed entry %d: %w", entry.Index, err)
		}
		if planted.Active(planted.ForgetEvacuations) && d.node.Status().Role != consensus.Leader {
			update.Changes = slices.DeleteFunc(update.Changes, func(change registry.Record) bool { return change.Type == catalog.TypeEvacuation })
		}
		result = d.state.Apply(&update)
		d.config.Metrics.Updates.WithLabelValues(result.Code.String()).Inc()
	case consensus.EntryMembership:
		d.log.Info("membership change committed", "index", entry.Index, "term", entry.Term)
	}
	d.applied = entry.Index
	d.bytesSinceSnapshot += entry.Size()
	d.answerWaiter(entry, result)
	return nil
}

// updateCatalog brings the typed view of the table up to date.
func (d *Driver) updateCatalog() error {
	if d.state == nil {
		return nil
	}
	if d.catalog != nil && d.catalog.Serial() == d.state.Table.Serial() {
		return nil
	}
	next, err := d.nextCatalog()
	if err != nil {
		return fmt.Errorf("control: reading the table: %w", err)
	}
	d.catalog = next
	return nil
}

func (d *Driver) nextCatalog() (*catalog.State, error) {
	view := d.state.Table.View()
	if d.catalog == nil {
		return catalog.Read(view)
	}
	return d.catalog.Next(view, d.state.Table.TransferSince(d.catalog.Serial()))
}
