package simulation

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/internal/defect"
	"github.com/deckpulley/deckpulley/storage"
)

const (
	// A process ticks its node at random intervals between these bounds.
	minTickInterval = 15 * time.Millisecond
	maxTickInterval = 30 * time.Millisecond
	// compactionInterval is the number of applied entries between snapshots.
	compactionInterval = 12
	// retainedEntriesLimit bounds the number of entries that a snapshot leaves in the log.
	retainedEntriesLimit = 8
	// droppedWrites is the number of writes that a crash loses with defect.MissingSync.
	droppedWrites = 2
)

// machine is one control node: a process with a disk and a monotonic clock.
type machine struct {
	process
	name string
	// replaces is the name of the machine that this one replaces, if any.
	replaces string
	store    *storage.Memory

	// A removed machine never restarts. A retiring machine runs until it is replaced.
	removed  bool
	retiring bool
	// node is nil while the process is down.
	node          *consensus.Node
	identity      consensus.ID
	state         *stateMachine
	applied       uint64
	snapshotIndex uint64 // index of the newest snapshot

	// plannedStall, if above 0, is how long the process freezes after its next write.
	// stalledReady is the written batch whose messages are sent after the freeze.
	plannedStall time.Duration
	stalledReady *consensus.Ready

	// waiters holds the operators that wait for an answer from this machine, by the id
	// of their operation.
	waiters      map[string][]waiter
	joinRequests map[consensus.ID]joinRequest
	// leadership is nil unless the machine leads.
	leadership *primary
}

// logPosition identifies an entry of the log.
type logPosition struct {
	index, term uint64
}

func (w *world) newMachine(name, replaces string) *machine {
	m := &machine{
		process:  process{world: w},
		name:     name,
		replaces: replaces,
		store:    storage.NewMemory(w.newIdentity()),
	}
	if w.hasDefect(defect.MissingSync) {
		m.store.DropSyncedWrites(droppedWrites)
	}
	w.machines = append(w.machines, m)
	return m
}

func (w *world) newIdentity() consensus.ID {
	w.namesIssued++
	return consensus.ID(fmt.Sprintf("disk-%d", w.namesIssued))
}

// populate creates a group with count voters, as the first start of a deployment does, and
// the operators and gateways.
func (w *world) populate(count int) {
	var group consensus.Membership
	for i := range count {
		m := w.newMachine(fmt.Sprintf("control-%d", i), "")
		stored, _ := m.store.Load()
		group.Members = append(group.Members, m.asMember(stored.Identity))
	}
	w.faults.voterCount = count
	w.checks.recordInitialMembership(group)
	for _, m := range w.machines {
		first := consensus.Snapshot{Index: 1, Term: 1, Membership: group}
		if err := m.store.SaveSnapshot(first, 2); err != nil {
			panic(err)
		}
		m.start()
	}
	w.populateOperators()
	w.populateGateways()
}

// asMember returns the machine as a member with the identity of its disk.
func (m *machine) asMember(identity consensus.ID) consensus.Member {
	return consensus.Member{ID: identity, Name: m.name, Address: m.name}
}

// start starts the process with the state of its disk.
func (m *machine) start() {
	stored, err := m.store.Load()
	if err != nil {
		m.world.recordViolation(RuleDurability, "%s cannot load its disk: %v", m.name, err)
		return
	}
	node, err := consensus.New(consensus.Config{
		ID:        stored.Identity,
		Seed:      m.world.random.Uint64(),
		HardState: stored.HardState,
		Snapshot:  stored.Snapshot,
		Entries:   stored.Entries,

		ElectionTimeout:   m.world.settings.electionTimeout,
		HeartbeatInterval: m.world.settings.electionTimeout / heartbeatsPerTimeout,
		MaxInflight:       m.world.settings.inflight,
		MaxAppendBytes:    m.world.settings.appendBytes,
	})
	if err != nil {
		m.world.recordViolation(RuleDurability, "%s cannot start from its disk: %v", m.name, err)
		return
	}
	node.InjectDefects(m.world.options.Defects)
	m.node = node
	m.identity = stored.Identity
	m.begin()
	m.plannedStall = 0
	m.waiters = make(map[string][]waiter)
	m.joinRequests = make(map[consensus.ID]joinRequest)
	m.leadership = nil
	m.restoreState(stored.Snapshot)
	node.Tick(m.clock())
	m.scheduleTick(m.incarnation)
	m.scheduleJoinRequest(m.incarnation)
}

// restoreState sets the state machine to that of a snapshot.
func (m *machine) restoreState(snapshot consensus.Snapshot) {
	m.state = newStateMachine()
	m.state.reuseSerials = m.world.hasDefect(defect.ReuseSerial)
	if err := m.state.restore(snapshot.Data); err != nil {
		m.world.recordViolation(RuleDurability, "%s cannot restore its state: %v", m.name, err)
	}
	m.applied = snapshot.Index
	m.snapshotIndex = snapshot.Index
	if snapshot.Index > 0 {
		m.world.checks.snapshotRestored(m, snapshot)
	}
}

// crash ends the process. The disk loses the writes that were not synced.
func (m *machine) crash() {
	m.node = nil
	m.endFreeze()
	m.stalledReady = nil
	m.store.Crash()
}

// restart starts a crashed machine again with its disk.
func (m *machine) restart() {
	if m.node != nil || m.removed || m.world.violated() {
		return
	}
	m.store.Reopen()
	m.start()
}

// up reports whether the process runs and is not frozen.
func (m *machine) up() bool {
	return m.node != nil && !m.frozen
}

func (m *machine) scheduleTick(incarnation int) {
	m.world.schedule(m.world.between(minTickInterval, maxTickInterval), func() {
		if m.incarnation != incarnation || m.node == nil {
			return
		}
		if !m.frozen {
			m.tick()
		}
		m.scheduleTick(incarnation)
	})
}

func (m *machine) tick() {
	m.node.Tick(m.clock())
	m.processReady()
	if m.node != nil {
		m.leaderTick()
	}
}

// receive handles a message, or buffers it while the process is frozen.
func (m *machine) receive(run func()) {
	if m.node == nil {
		return
	}
	if m.frozen {
		m.buffer(run)
		return
	}
	run()
	m.processReady()
}

// unfreeze resumes a frozen process. It completes the stalled batch, if any, and handles
// the buffered messages, sometimes after a tick.
func (m *machine) unfreeze() {
	if m.node == nil || !m.frozen {
		return
	}
	messages := m.endFreeze()
	if m.stalledReady != nil {
		batch := *m.stalledReady
		m.stalledReady = nil
		m.completeReady(batch)
	}
	if m.node != nil && m.world.chance(0.5) {
		m.tick()
	}
	for _, message := range messages {
		m.receive(message)
	}
}

// processReady persists, sends and applies the node's ready batches, in the order that
// consensus.Ready prescribes.
func (m *machine) processReady() {
	m.checkLeadership()
	for m.up() && m.node.HasReady() && !m.world.violated() {
		ready := m.node.Ready()
		if m.world.hasDefect(defect.SendBeforeSync) {
			m.sendAll(ready.Messages)
			ready.Messages = nil
		}
		if !m.persist(ready) {
			return
		}
		if m.plannedStall > 0 {
			m.stallBeforeSend(ready)
			return
		}
		if len(ready.CommittedEntries) > 0 && m.leadership != nil && m.leadership.grantor == nil {
			m.world.atFirstCommit(m)
		}
		m.completeReady(ready)
	}
	if m.up() {
		m.world.checks.observeLeadership(m)
		m.answerOperations()
		m.notifyGateways()
	}
}

// completeReady sends and applies a batch that is on disk.
func (m *machine) completeReady(ready consensus.Ready) {
	m.sendAll(ready.Messages)
	m.apply(ready)
	m.node.Advance(ready)
	m.compact()
	if m.node != nil {
		m.checkLeadership()
	}
}

// stallBeforeSend freezes the process after it wrote a batch and before it sends the
// batch's messages.
func (m *machine) stallBeforeSend(ready consensus.Ready) {
	m.world.countFault(FaultStallBeforeSend)
	m.frozen = true
	m.stalledReady = &ready
	m.world.schedule(m.plannedStall, m.unfreeze)
	m.plannedStall = 0
}

// persist writes a batch to the disk. It reports false if the disk failed, which crashes
// the machine.
func (m *machine) persist(ready consensus.Ready) bool {
	if ready.HardState != nil && m.world.hasDefect(defect.ForgetVote) {
		withoutVote := *ready.HardState
		withoutVote.Vote = consensus.None
		ready.HardState = &withoutVote
	}
	if err := storage.Persist(m.store, ready); err != nil {
		m.failDiskWrite()
		return false
	}
	m.world.checks.entriesWritten(m, ready.Entries)
	return true
}

// failDiskWrite crashes a machine whose disk failed, and restarts it later.
func (m *machine) failDiskWrite() {
	m.world.result.Faults[FaultCrashAtWrite]++
	m.crash()
	m.world.schedule(m.world.between(minDowntime, maxDowntime), m.restart)
}

// sendAll sends messages to the machines that have, or had, the disks they are addressed
// to.
func (m *machine) sendAll(messages []consensus.Message) {
	for _, message := range messages {
		if message.Kind == consensus.MessageVoteReply && !message.Reject {
			m.world.afterVote(m)
		}
		to := m.world.checks.machineOf(message.To)
		if to == nil {
			continue
		}
		m.world.network.send(m.name, to.name, func() {
			to.receive(func() { to.step(message) })
		})
	}
}

// step passes a message to the node, which rejects a message that is addressed to an
// earlier disk of this machine.
func (m *machine) step(message consensus.Message) {
	_ = m.node.Step(m.clock(), message)
}

// apply restores the snapshot of a batch and applies its committed entries.
func (m *machine) apply(ready consensus.Ready) {
	if ready.Snapshot != nil {
		m.restoreState(*ready.Snapshot)
	}
	for _, entry := range ready.CommittedEntries {
		if entry.Kind == consensus.EntryNormal {
			if _, err := m.state.apply(entry.Data); err != nil {
				m.world.recordViolation(RuleStateMachineSafety, "%s cannot apply index %d: %v", m.name, entry.Index, err)
			}
		}
		m.applied = entry.Index
		m.world.checks.entryApplied(m, entry)
		m.entryApplied(entry)
	}
}

// compact takes a snapshot after every compactionInterval applied entries.
func (m *machine) compact() {
	if m.applied < m.snapshotIndex+compactionInterval {
		return
	}
	data, err := m.state.snapshot(m.world.hasDefect(defect.SnapshotDropsOrders))
	if err != nil {
		panic(err)
	}
	retained := uint64(m.world.random.IntN(retainedEntriesLimit))
	snapshot, err := m.node.Compact(m.applied, data, retained)
	if err != nil {
		m.world.recordViolation(RuleDurability, "%s cannot compact its log: %v", m.name, err)
		return
	}
	m.snapshotIndex = snapshot.Index
	if m.store.SaveSnapshot(snapshot, consensus.FirstRetainedIndex(snapshot, retained)) != nil {
		m.failDiskWrite()
	}
}
