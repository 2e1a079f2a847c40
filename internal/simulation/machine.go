package simulation

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/internal/defect"
	"github.com/deckpulley/deckpulley/storage"
)

const (
	minTickInterval = 15 * time.Millisecond
	maxTickInterval = 30 * time.Millisecond
	// maxDrift is how much faster or slower a clock may run.
	maxDrift = 0.02
	// maxBuffered bounds what waits for a frozen process.
	maxBuffered = 256
	// compactionInterval is the number of applied entries between snapshots.
	compactionInterval   = 12
	retainedEntriesLimit = 8
	// droppedWrites is how many writes the planted fault of a missing sync loses.
	droppedWrites = 2
)

// machine is one control node: a process with a disk and a clock of its own.
type machine struct {
	world *world
	name  string
	// replaces is the machine whose place this one takes, at a new address.
	replaces string
	store    *storage.Memory

	// removed machines never come back; retiring ones run until they are replaced.
	removed  bool
	retiring bool
	// node is nil while the process is down.
	node *consensus.Node
	// incarnation counts the starts; timers of an earlier one are void.
	incarnation   int
	identity      consensus.ID
	state         *stateMachine
	applied       uint64
	snapshotIndex uint64 // index of the newest snapshot
	started       time.Duration
	drift         float64

	frozen   bool
	buffered []func()
	// plannedStall stops the process before it sends what it writes next; unfinished is
	// the batch that waits for that.
	plannedStall time.Duration
	stalledReady *consensus.Ready

	// waiters holds the orders that wait for their answer here, by id.
	waiters      map[string][]waiter
	joinRequests map[consensus.ID]joinRequest
	// leadership is nil unless the machine leads.
	leadership *primary
}

// logPosition is where a proposal stands in the log.
type logPosition struct {
	index, term uint64
}

func (w *world) newMachine(name, replaces string) *machine {
	m := &machine{
		world:    w,
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

// populate forms a group, as the first start of a fleet does.
func (w *world) populate(count int) {
	var group consensus.Membership
	for i := range count {
		m := w.newMachine(fmt.Sprintf("control-%d", i), "")
		held, _ := m.store.Load()
		group.Members = append(group.Members, m.asMember(held.Identity))
	}
	w.faults.voterCount = count
	w.checks.groupFormed(group)
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

func (m *machine) asMember(identity consensus.ID) consensus.Member {
	return consensus.Member{ID: identity, Name: m.name, Address: m.name}
}

// clock is the process's monotonic clock: it starts at zero, and drifts.
func (m *machine) clock() time.Duration {
	elapsed := m.world.now - m.started
	return elapsed + time.Duration(float64(elapsed)*m.drift)
}

// worldTime turns a time of this process's clock into the world's.
func (m *machine) worldTime(local time.Duration) time.Duration {
	return m.started + time.Duration(float64(local)/(1+m.drift))
}

// start runs the process with what the disk holds.
func (m *machine) start() {
	held, err := m.store.Load()
	if err != nil {
		m.world.recordViolation(RuleDurability, "%s cannot read its disk: %v", m.name, err)
		return
	}
	node, err := consensus.New(consensus.Config{
		ID:        held.Identity,
		Seed:      m.world.random.Uint64(),
		HardState: held.HardState,
		Snapshot:  held.Snapshot,
		Entries:   held.Entries,

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
	m.identity = held.Identity
	m.incarnation++
	m.started = m.world.now
	m.drift = maxDrift * (2*m.world.random.Float64() - 1)
	m.frozen = false
	m.buffered = nil
	m.plannedStall = 0
	m.waiters = make(map[string][]waiter)
	m.joinRequests = make(map[consensus.ID]joinRequest)
	m.leadership = nil
	m.restoreState(held.Snapshot)
	node.Tick(m.clock())
	m.scheduleTick(m.incarnation)
	m.scheduleJoinRequest(m.incarnation)
}

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

// crash ends the process; what was not written is gone.
func (m *machine) crash() {
	m.node = nil
	m.frozen = false
	m.buffered = nil
	m.stalledReady = nil
	m.store.Crash()
}

// restart brings a crashed machine back with its disk.
func (m *machine) restart() {
	if m.node != nil || m.removed || m.world.violated() {
		return
	}
	m.store.Reopen()
	m.start()
}

func (m *machine) up() bool {
	return m.node != nil && !m.frozen
}

func (m *machine) scheduleTick(process int) {
	m.world.schedule(m.world.between(minTickInterval, maxTickInterval), func() {
		if m.incarnation != process || m.node == nil {
			return
		}
		if !m.frozen {
			m.tick()
		}
		m.scheduleTick(process)
	})
}

func (m *machine) tick() {
	m.node.Tick(m.clock())
	m.processReady()
	if m.node != nil {
		m.leaderTick()
	}
}

// receive takes a message in, or lets it wait while the process is frozen.
func (m *machine) receive(run func()) {
	if m.node == nil {
		return
	}
	if m.frozen {
		if len(m.buffered) < maxBuffered {
			m.buffered = append(m.buffered, run)
		}
		return
	}
	run()
	m.processReady()
}

func (m *machine) unfreeze() {
	if m.node == nil || !m.frozen {
		return
	}
	m.frozen = false
	waited := m.buffered
	m.buffered = nil
	if m.stalledReady != nil {
		batch := *m.stalledReady
		m.stalledReady = nil
		m.completeReady(batch)
	}
	if m.node != nil && m.world.chance(0.5) {
		m.tick()
	}
	for _, run := range waited {
		m.receive(run)
	}
}

// processReady does what the node asks for, in the order that Ready prescribes.
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

// completeReady does the part of a batch that follows the write.
func (m *machine) completeReady(ready consensus.Ready) {
	m.sendAll(ready.Messages)
	m.apply(ready)
	m.node.Advance(ready)
	m.compact()
	if m.node != nil {
		m.checkLeadership()
	}
}

// stallBeforeSend freezes the process between its disk and the network.
func (m *machine) stallBeforeSend(ready consensus.Ready) {
	m.world.countFault(FaultStallBeforeSend)
	m.frozen = true
	m.stalledReady = &ready
	m.world.schedule(m.plannedStall, m.unfreeze)
	m.plannedStall = 0
}

func (m *machine) persist(ready consensus.Ready) bool {
	if ready.HardState != nil && m.world.hasDefect(defect.ForgetVote) {
		forgetful := *ready.HardState
		forgetful.Vote = consensus.None
		ready.HardState = &forgetful
	}
	if err := storage.Persist(m.store, ready); err != nil {
		m.failDiskWrite()
		return false
	}
	m.world.checks.entriesWritten(m, ready.Entries)
	return true
}

// failDiskWrite is the end of a process whose disk failed. It comes back later.
func (m *machine) failDiskWrite() {
	m.world.result.Faults[FaultCrashAtWrite]++
	m.crash()
	m.world.schedule(m.world.between(minDowntime, maxDowntime), m.restart)
}

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

// step hands a message over. One for an earlier disk at this address is refused
// by the node.
func (m *machine) step(message consensus.Message) {
	_ = m.node.Step(m.clock(), message)
}

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

// compact takes a snapshot now and then.
func (m *machine) compact() {
	if m.applied < m.snapshotIndex+compactionInterval {
		return
	}
	data, err := m.state.snapshot(m.world.hasDefect(defect.SnapshotDropsOrders))
	if err != nil {
		panic(err)
	}
	keep := uint64(m.world.random.IntN(retainedEntriesLimit))
	snapshot, err := m.node.Compact(m.applied, data, keep)
	if err != nil {
		m.world.recordViolation(RuleDurability, "%s cannot compact: %v", m.name, err)
		return
	}
	m.snapshotIndex = snapshot.Index
	if m.store.SaveSnapshot(snapshot, consensus.FirstRetainedIndex(snapshot, keep)) != nil {
		m.failDiskWrite()
	}
}
