package control

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/storage"
	"github.com/deckpulley/deckpulley/transport"
)

// machine is everything that the event loop owns. Its methods run on the loop
// alone; now is the monotonic time since the node was made.
type machine struct {
	options  Options
	log      *slog.Logger
	metrics  *metrics
	store    storage.Store
	network  transport.Network
	identity consensus.ID

	// cluster is empty and group nil until the node was formed or joined.
	cluster string
	group   *consensus.Node
	// table is nil until the first snapshot of the group is here.
	table    *registry.Table
	contents *catalog.State
	orders   orderBook
	applied  uint64
	// voters is the number of voters of the group without loss.
	voters int
	// snapshotIndex is the index of the newest snapshot on disk.
	snapshotIndex uint64

	waiters    map[uint64]waiter // by log index
	leadership *leadership       // nil unless this node leads

	// heard holds addresses of members that other nodes told.
	heard     map[consensus.ID]string
	transfers transferCache
	pacer     pacer
	failure   error // a failed write outside a batch; ends the node
}

// newMachine reads the disk.
func newMachine(options Options, log *slog.Logger, metrics *metrics, now time.Duration) (*machine, error) {
	loaded, err := options.Store.Load()
	if err != nil {
		return nil, fmt.Errorf("control: reading the disk: %w", err)
	}
	m := &machine{
		options:  options,
		log:      log,
		metrics:  metrics,
		store:    options.Store,
		network:  options.Network,
		identity: loaded.Identity,
		cluster:  loaded.Cluster,
		waiters:  make(map[uint64]waiter),
		heard:    make(map[consensus.ID]string),
		pacer:    newPacer(options.LinkMbps),
	}
	if err := m.finishAdoption(loaded.Snapshot); err != nil {
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

// finishAdoption completes a formation that a crash cut between its two writes:
// the snapshot is on disk and names the group, the group's own mark is not.
func (m *machine) finishAdoption(snapshot consensus.Snapshot) error {
	if m.cluster != "" || snapshot.Index == 0 {
		return nil
	}
	content, err := decodeSnapshot(snapshot.Data)
	if err != nil {
		return err
	}
	if err := m.store.SetCluster(content.Cluster); err != nil {
		return fmt.Errorf("control: recording the group: %w", err)
	}
	m.cluster = content.Cluster
	return nil
}

// open starts the replicated log from what the disk holds.
func (m *machine) open(loaded storage.State, now time.Duration) error {
	group, err := consensus.New(consensus.Config{
		ID:                m.identity,
		ElectionTimeout:   m.options.ElectionTimeout,
		StartupTimeout:    m.options.StartupTimeout,
		HeartbeatInterval: m.options.HeartbeatInterval,
		Seed:              m.options.Seed,
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
		m.metrics.foreignMessages.Inc()
		return
	}
	if err := m.group.Step(now, wrapped.Message); err != nil {
		m.log.Debug("message refused by the log", "from", string(wrapped.Message.From), "error", err)
	}
	m.followLeadership(now)
}

// settle carries out what the inputs caused: writes, then messages, then
// changes of the table, until nothing is left to do.
func (m *machine) settle(now time.Duration) error {
	if m.failure != nil || m.group == nil {
		return m.failure
	}
	m.maintain(now)
	m.flushWrites(now)
	for m.group.HasReady() {
		if err := m.carryOut(now, m.group.Ready()); err != nil {
			return err
		}
		m.flushWrites(now)
	}
	m.followLeadership(now)
	m.reviewLeases(now)
	return m.failure
}

// carryOut does one batch in the order that safety needs: the disk first, then
// the messages, then the table.
func (m *machine) carryOut(now time.Duration, ready consensus.Ready) error {
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
	if err := m.readContents(); err != nil {
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
	m.metrics.syncSeconds.Observe(time.Since(start).Seconds())
	return nil
}

// send hands messages to the network. Who has no known address gets nothing and
// is looked for by the discovery.
func (m *machine) send(messages []consensus.Message) {
	if len(messages) == 0 {
		return
	}
	membership := m.group.Status().Membership
	for _, message := range messages {
		address := m.addressOf(membership, message.To)
		if address == "" {
			m.metrics.unknownAddresses.Inc()
			continue
		}
		m.network.Send(address, peer.KindConsensus, peer.ConsensusMessage{Cluster: m.cluster, Message: message})
	}
}

// addressOf finds a member's address in the membership, or among what the
// discovery heard from other nodes.
func (m *machine) addressOf(membership consensus.Membership, id consensus.ID) string {
	if member, found := findMember(membership, id); found {
		return member.Address
	}
	return m.heard[id]
}

// apply brings one committed entry into the table and answers who waits for it.
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
		result = m.table.Apply(&update, permit)
		m.orders.follow(&update, result)
		m.metrics.updates.WithLabelValues(result.Code.String()).Inc()
	case consensus.EntryMembership:
		m.log.Info("membership changed", "index", entry.Index, "term", entry.Term)
	}
	m.applied = entry.Index
	m.answer(entry, result)
	m.startServing(now, entry)
	return nil
}

// readContents brings the typed reading of the table up to date.
func (m *machine) readContents() error {
	if m.table == nil {
		return nil
	}
	if m.contents != nil && m.contents.Serial() == m.table.Serial() {
		return nil
	}
	contents, err := m.nextContents()
	if err != nil {
		return fmt.Errorf("control: reading the table: %w", err)
	}
	m.contents = contents
	if leadership, serving := m.serving(); serving {
		leadership.grantor.SetSerial(m.table.Serial())
	}
	return nil
}

func (m *machine) nextContents() (*catalog.State, error) {
	view := m.table.View()
	if m.contents == nil {
		return catalog.Read(view)
	}
	return m.contents.Next(view, m.table.TransferSince(m.contents.Serial()))
}

// observe makes the reading that the loop publishes.
func (m *machine) observe(now time.Duration, previous *observation) *observation {
	o := &observation{
		at:         now,
		identity:   m.identity,
		cluster:    m.cluster,
		contents:   m.contents,
		applied:    m.applied,
		superseded: make(chan struct{}),
	}
	if m.group != nil {
		o.status = m.group.Status()
	}
	if m.table != nil {
		o.view = m.table.View()
		o.serial = m.table.Serial()
	}
	leadership, serving := m.serving()
	if !serving {
		return o
	}
	o.primary = true
	o.contact, o.contactKnown = leadership.contact, leadership.contactKnown
	o.inForce, o.inForceKnown = leadership.inForce, leadership.inForceKnown
	return o
}

// transferLeadership asks the best informed voter to take over.
func (m *machine) transferLeadership(now time.Duration) {
	if m.group == nil {
		return
	}
	status := m.group.Status()
	target := successor(status)
	if status.Role != consensus.Leader || target == consensus.None {
		return
	}
	if err := m.group.TransferLeadership(now, target); err != nil {
		m.log.Warn("leadership not handed over", "term", status.Term, "error", err)
		return
	}
	m.log.Info("handing leadership over", "term", status.Term, "to", string(target))
}

// successor is the voter, other than this node, that holds the most.
func successor(status consensus.Status) consensus.ID {
	best, bestMatch := consensus.None, uint64(0)
	for _, member := range status.Membership.Members {
		if member.Learner || member.ID == status.ID {
			continue
		}
		if match := status.Match[member.ID]; best == consensus.None || match > bestMatch {
			best, bestMatch = member.ID, match
		}
	}
	return best
}

// abandon answers everybody who still waits, when the loop has ended.
func (m *machine) abandon() {
	m.loseWaiters(ErrStopped)
}
