package simulation

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/internal/defect"
	"github.com/deckpulley/deckpulley/storage"
)

const (
	tickLeast = 15 * time.Millisecond
	tickMost  = 30 * time.Millisecond
	// mostDrift is how much faster or slower a clock may run.
	mostDrift = 0.02
	// bufferLimit bounds what waits for a frozen process.
	bufferLimit = 256
	// compactAfter is the number of applied entries between snapshots.
	compactAfter = 12
	keepAtMost   = 8
	// lostWrites is how many writes the planted fault of a missing sync loses.
	lostWrites = 2
)

// machine is one control node: a process with a disk and a clock of its own.
type machine struct {
	world *world
	name  string
	// replaces is the machine whose place this one takes, at a new address.
	replaces string
	store    *storage.Memory

	// gone machines never come back; retiring ones run until they are replaced.
	gone     bool
	retiring bool
	// node is nil while the process is down.
	node *consensus.Node
	// process counts the starts; timers of an earlier one are void.
	process  int
	identity consensus.ID
	state    *book
	applied  uint64
	compacts uint64 // index of the newest snapshot
	started  time.Duration
	drift    float64

	frozen bool
	buffer []func()
	// stall stops the process before it sends what it writes next; unfinished is
	// the batch that waits for that.
	stall      time.Duration
	unfinished *consensus.Ready

	// asked holds the orders that wait for their answer here, by id.
	asked map[string][]waiting
	joins map[consensus.ID]joining
	// leadership is nil unless the machine leads.
	leadership *primary
}

// place is where a proposal stands in the log.
type place struct {
	index, term uint64
}

func (w *world) newMachine(name, replaces string) *machine {
	m := &machine{
		world:    w,
		name:     name,
		replaces: replaces,
		store:    storage.NewMemory(w.newIdentity()),
	}
	if w.has(defect.MissingSync) {
		m.store.DropSyncedWrites(lostWrites)
	}
	w.machines = append(w.machines, m)
	return m
}

func (w *world) newIdentity() consensus.ID {
	w.named++
	return consensus.ID(fmt.Sprintf("disk-%d", w.named))
}

// populate forms a group, as the first start of a fleet does.
func (w *world) populate(count int) {
	var group consensus.Membership
	for i := range count {
		m := w.newMachine(fmt.Sprintf("control-%d", i), "")
		held, _ := m.store.Load()
		group.Members = append(group.Members, m.member(held.Identity))
	}
	w.faults.size = count
	w.checks.formed(group)
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

func (m *machine) member(identity consensus.ID) consensus.Member {
	return consensus.Member{ID: identity, Name: m.name, Address: m.name}
}

// clock is the process's monotonic clock: it starts at zero, and drifts.
func (m *machine) clock() time.Duration {
	elapsed := m.world.now - m.started
	return elapsed + time.Duration(float64(elapsed)*m.drift)
}

// global turns a time of this process's clock into the world's.
func (m *machine) global(local time.Duration) time.Duration {
	return m.started + time.Duration(float64(local)/(1+m.drift))
}

// start runs the process with what the disk holds.
func (m *machine) start() {
	held, err := m.store.Load()
	if err != nil {
		m.world.violate(RuleDurable, "%s cannot read its disk: %v", m.name, err)
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
		m.world.violate(RuleDurable, "%s cannot start from its disk: %v", m.name, err)
		return
	}
	node.InjectDefects(m.world.options.Defects)
	m.node = node
	m.identity = held.Identity
	m.process++
	m.started = m.world.now
	m.drift = mostDrift * (2*m.world.random.Float64() - 1)
	m.frozen = false
	m.buffer = nil
	m.stall = 0
	m.asked = make(map[string][]waiting)
	m.joins = make(map[consensus.ID]joining)
	m.leadership = nil
	m.restoreState(held.Snapshot)
	node.Tick(m.clock())
	m.tickLater(m.process)
	m.joinLater(m.process)
}

func (m *machine) restoreState(snapshot consensus.Snapshot) {
	m.state = newBook()
	m.state.reuse = m.world.has(defect.ReuseSerial)
	if err := m.state.restore(snapshot.Data); err != nil {
		m.world.violate(RuleDurable, "%s cannot restore its state: %v", m.name, err)
	}
	m.applied = snapshot.Index
	m.compacts = snapshot.Index
	if snapshot.Index > 0 {
		m.world.checks.restored(m, snapshot)
	}
}

// crash ends the process; what was not written is gone.
func (m *machine) crash() {
	m.node = nil
	m.frozen = false
	m.buffer = nil
	m.unfinished = nil
	m.store.Crash()
}

// restart brings a crashed machine back with its disk.
func (m *machine) restart() {
	if m.node != nil || m.gone || m.world.broken() {
		return
	}
	m.store.Reopen()
	m.start()
}

func (m *machine) up() bool {
	return m.node != nil && !m.frozen
}

func (m *machine) tickLater(process int) {
	m.world.after(m.world.between(tickLeast, tickMost), func() {
		if m.process != process || m.node == nil {
			return
		}
		if !m.frozen {
			m.tick()
		}
		m.tickLater(process)
	})
}

func (m *machine) tick() {
	m.node.Tick(m.clock())
	m.work()
	if m.node != nil {
		m.lead()
	}
}

// receive takes a message in, or lets it wait while the process is frozen.
func (m *machine) receive(run func()) {
	if m.node == nil {
		return
	}
	if m.frozen {
		if len(m.buffer) < bufferLimit {
			m.buffer = append(m.buffer, run)
		}
		return
	}
	run()
	m.work()
}

func (m *machine) thaw() {
	if m.node == nil || !m.frozen {
		return
	}
	m.frozen = false
	waited := m.buffer
	m.buffer = nil
	if m.unfinished != nil {
		batch := *m.unfinished
		m.unfinished = nil
		m.finish(batch)
	}
	if m.node != nil && m.world.chance(0.5) {
		m.tick()
	}
	for _, run := range waited {
		m.receive(run)
	}
}

// work does what the node asks for, in the order that Ready prescribes.
func (m *machine) work() {
	m.checkLeadership()
	for m.up() && m.node.HasReady() && !m.world.broken() {
		ready := m.node.Ready()
		if m.world.has(defect.SendBeforeSync) {
			m.sendAll(ready.Messages)
			ready.Messages = nil
		}
		if !m.persist(ready) {
			return
		}
		if m.stall > 0 {
			m.stop(ready)
			return
		}
		if len(ready.CommittedEntries) > 0 && m.leadership != nil && m.leadership.grantor == nil {
			m.world.atFirstCommit(m)
		}
		m.finish(ready)
	}
	if m.up() {
		m.world.checks.afterStep(m)
		m.answerOrders()
		m.notifyGateways()
	}
}

// finish does the part of a batch that follows the write.
func (m *machine) finish(ready consensus.Ready) {
	m.sendAll(ready.Messages)
	m.apply(ready)
	m.node.Advance(ready)
	m.compact()
	if m.node != nil {
		m.checkLeadership()
	}
}

// stop freezes the process between its disk and the network.
func (m *machine) stop(ready consensus.Ready) {
	m.world.count(FaultStall)
	m.frozen = true
	m.unfinished = &ready
	m.world.after(m.stall, m.thaw)
	m.stall = 0
}

func (m *machine) persist(ready consensus.Ready) bool {
	if ready.HardState != nil && m.world.has(defect.ForgetVote) {
		forgetful := *ready.HardState
		forgetful.Vote = consensus.None
		ready.HardState = &forgetful
	}
	if err := storage.Persist(m.store, ready); err != nil {
		m.powerCut()
		return false
	}
	m.world.checks.persisted(m, ready.Entries)
	return true
}

// powerCut is the end of a process whose disk failed. It comes back later.
func (m *machine) powerCut() {
	m.world.result.Faults[FaultCrashAtWrite]++
	m.crash()
	m.world.after(m.world.between(restartLeast, restartMost), m.restart)
}

func (m *machine) sendAll(messages []consensus.Message) {
	for _, message := range messages {
		if message.Kind == consensus.MessageVoteReply && !message.Reject {
			m.world.afterVote(m)
		}
		to := m.world.checks.holder(message.To)
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
				m.world.violate(RuleAgreement, "%s cannot apply index %d: %v", m.name, entry.Index, err)
			}
		}
		m.applied = entry.Index
		m.world.checks.appliedEntry(m, entry)
		m.noteApplied(entry)
	}
}

// compact takes a snapshot now and then.
func (m *machine) compact() {
	if m.applied < m.compacts+compactAfter {
		return
	}
	data, err := m.state.snapshot(m.world.has(defect.SnapshotDropsOrders))
	if err != nil {
		panic(err)
	}
	keep := uint64(m.world.random.IntN(keepAtMost))
	snapshot, err := m.node.Compact(m.applied, data, keep)
	if err != nil {
		m.world.violate(RuleDurable, "%s cannot compact: %v", m.name, err)
		return
	}
	m.compacts = snapshot.Index
	if m.store.SaveSnapshot(snapshot, consensus.FirstRetainedIndex(snapshot, keep)) != nil {
		m.powerCut()
	}
}
