package engine

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/membership"
	"github.com/deckpulley/deckpulley/control/metrics"
	"github.com/deckpulley/deckpulley/control/statemachine"
	"github.com/deckpulley/deckpulley/control/transfer"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/storage"
	"github.com/deckpulley/deckpulley/transport"
)

// machine is everything that the event loop owns. Its methods run on the event loop
// alone; now is the monotonic time of the event queue.
type machine struct {
	config   Config
	log      *slog.Logger
	metrics  *metrics.Metrics
	store    storage.Store
	network  transport.Network
	identity consensus.ID

	// cluster is empty and group nil until this node has a group.
	cluster string
	group   *consensus.Node
	// state is nil until the first snapshot of the group is here.
	state *statemachine.State
	// catalog is the typed reading of the state's table.
	catalog *catalog.State
	// applied is the index of the newest entry in the state, and snapshotIndex that
	// of the newest snapshot on disk.
	applied       uint64
	snapshotIndex uint64

	waiters    map[uint64]waiter // by log index
	leadership *leadership       // nil unless this node leads

	// addresses are those of members that other nodes named.
	addresses map[consensus.ID]string
	transfers *transfer.Sender
	failure   error // a failed write outside a batch; ends the node
}

// newMachine reads the disk.
func newMachine(config Config, metrics *metrics.Metrics, now time.Duration) (*machine, error) {
	loaded, err := config.Store.Load()
	if err != nil {
		return nil, fmt.Errorf("control: reading the disk: %w", err)
	}
	m := &machine{
		config:    config,
		log:       config.Logger,
		metrics:   metrics,
		store:     config.Store,
		network:   config.Network,
		identity:  loaded.Identity,
		cluster:   loaded.Cluster,
		waiters:   make(map[uint64]waiter),
		addresses: make(map[consensus.ID]string),
		transfers: transfer.NewSender(config.Logger, config.LinkMbps),
	}
	if err := m.completeGroupEntry(loaded.Snapshot); err != nil {
		return nil, err
	}
	if m.cluster == "" {
		return m, nil
	}
	if err := m.open(loaded, now); err != nil {
		return nil, err
	}
	return m, nil
}

// open starts the replicated log from what the disk contains.
func (m *machine) open(loaded storage.State, now time.Duration) error {
	group, err := consensus.New(consensus.Config{
		ID:                m.identity,
		ElectionTimeout:   m.config.ElectionTimeout,
		StartupTimeout:    m.config.StartupTimeout,
		HeartbeatInterval: m.config.HeartbeatInterval,
		Seed:              m.config.Seed,
		HardState:         loaded.HardState,
		Snapshot:          loaded.Snapshot,
		Entries:           loaded.Entries,
		Applied:           loaded.Snapshot.Index,
	})
	if err != nil {
		return fmt.Errorf("control: opening the replicated log: %w", err)
	}
	m.group = group
	m.group.Tick(now)
	if loaded.Snapshot.Index == 0 {
		return nil
	}
	return m.restore(loaded.Snapshot)
}

// tick passes the time on. It comes before every other input.
func (m *machine) tick(now time.Duration) {
	if m.group == nil {
		return
	}
	m.group.Tick(now)
	m.followLeadership(now)
}

// step hands one message of the group to the replicated log.
func (m *machine) step(now time.Duration, wrapped peer.ConsensusMessage) {
	if m.group == nil || wrapped.Cluster != m.cluster {
		m.metrics.ForeignMessages.Inc()
		return
	}
	if err := m.group.Step(now, wrapped.Message); err != nil {
		m.log.Debug("consensus message rejected", "from", string(wrapped.Message.From), "error", err)
	}
	m.followLeadership(now)
}

// process does what the inputs caused: writes, then messages, then changes of the
// state, until nothing is left to do.
func (m *machine) process(now time.Duration) error {
	if m.failure != nil || m.group == nil {
		return m.failure
	}
	m.maintain(now)
	m.proposeGatewayRecords(now)
	for m.group.HasReady() {
		if err := m.processReady(now, m.group.Ready()); err != nil {
			return err
		}
		m.proposeGatewayRecords(now)
	}
	m.followLeadership(now)
	m.reviewLeases(now)
	return m.failure
}

// processReady does one batch in the order that safety needs: the disk first, then
// the messages, then the state.
func (m *machine) processReady(now time.Duration, ready consensus.Ready) error {
	if err := m.persist(ready); err != nil {
		return err
	}
	m.send(ready.Messages)
	if ready.Snapshot != nil {
		if err := m.install(*ready.Snapshot); err != nil {
			return err
		}
	}
	for _, entry := range ready.CommittedEntries {
		if err := m.apply(now, entry); err != nil {
			return err
		}
	}
	if err := m.updateCatalog(); err != nil {
		return err
	}
	m.group.Advance(ready)
	return m.compact()
}

// persist syncs what the batch's messages depend on.
func (m *machine) persist(ready consensus.Ready) error {
	if ready.Snapshot == nil && ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	start := time.Now()
	if err := storage.Persist(m.store, ready); err != nil {
		return fmt.Errorf("control: writing the log: %w", err)
	}
	m.metrics.SyncSeconds.Observe(time.Since(start).Seconds())
	return nil
}

// send hands messages to the network. A member without a known address gets
// nothing: discovery looks for it.
func (m *machine) send(messages []consensus.Message) {
	if len(messages) == 0 {
		return
	}
	current := m.group.Status().Membership
	for _, message := range messages {
		address := m.addressOf(current, message.To)
		if address == "" {
			m.metrics.UnknownAddresses.Inc()
			continue
		}
		m.network.Send(address, peer.KindConsensus, peer.ConsensusMessage{Cluster: m.cluster, Message: message})
	}
}

// addressOf returns a member's peer address from the membership, or from what other
// nodes named; empty if unknown.
func (m *machine) addressOf(current consensus.Membership, id consensus.ID) string {
	if member, found := membership.Find(current, id); found {
		return member.Address
	}
	return m.addresses[id]
}

// apply applies one committed entry and answers who waits for it.
func (m *machine) apply(now time.Duration, entry consensus.Entry) error {
	var result registry.Result
	switch entry.Kind {
	case consensus.EntryNormal:
		update, err := registry.DecodeUpdate(entry.Data)
		if err != nil {
			return fmt.Errorf("control: committed entry %d: %w", entry.Index, err)
		}
		if planted.Active(planted.ForgetEvacuations) && m.leadership == nil {
			update.Changes = slices.DeleteFunc(update.Changes, func(change registry.Record) bool { return change.Type == catalog.TypeEvacuation })
		}
		result = m.state.Apply(&update)
		m.metrics.Updates.WithLabelValues(result.Code.String()).Inc()
	case consensus.EntryMembership:
		m.log.Info("membership change committed", "index", entry.Index, "term", entry.Term)
	}
	m.applied = entry.Index
	m.answerWaiter(entry, result)
	m.startServing(now, entry)
	return nil
}

// updateCatalog brings the typed reading of the table up to date.
func (m *machine) updateCatalog() error {
	if m.state == nil {
		return nil
	}
	if m.catalog != nil && m.catalog.Serial() == m.state.Table.Serial() {
		return nil
	}
	next, err := m.nextCatalog()
	if err != nil {
		return fmt.Errorf("control: reading the table: %w", err)
	}
	m.catalog = next
	if leadership, serving := m.serving(); serving {
		leadership.leases.SetSerial(m.state.Table.Serial())
	}
	return nil
}

func (m *machine) nextCatalog() (*catalog.State, error) {
	view := m.state.Table.View()
	if m.catalog == nil {
		return catalog.Read(view)
	}
	return m.catalog.Next(view, m.state.Table.TransferSince(m.catalog.Serial()))
}

// observe makes the reading that the event loop publishes.
func (m *machine) observe(now time.Duration) *Observation {
	o := &Observation{
		At:         now,
		Identity:   m.identity,
		Cluster:    m.cluster,
		Catalog:    m.catalog,
		Applied:    m.applied,
		superseded: make(chan struct{}),
	}
	if m.group != nil {
		o.Status = m.group.Status()
	}
	if m.state != nil {
		o.Serial = m.state.Table.Serial()
	}
	leadership, serving := m.serving()
	if !serving {
		return o
	}
	review := leadership.leases.LastReview()
	o.Primary = true
	o.Contact, o.ContactKnown = review.Contact, review.ContactKnown
	o.InForce, o.InForceKnown = review.InForce, review.InForceKnown
	return o
}
