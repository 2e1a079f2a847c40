package simulation

import (
	"hash/fnv"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/registry"
)

// clockResolution is the tolerance for rounding when times of two clocks are compared.
const clockResolution = time.Microsecond

// checks observes all machines and gateways and records violations of the rules.
type checks struct {
	world *world
	// diskOwners holds the machine that has, or had, the disk with an identity.
	diskOwners map[consensus.ID]*machine
	// leaderByTerm holds the first machine that led in a term.
	leaderByTerm map[uint64]consensus.ID
	// elections lists the elections in order of time.
	elections []election
	// writtenEntries holds every entry that was ever written to a disk.
	writtenEntries map[logPosition]writtenEntry
	// committedLog holds the committed entries as they were first applied, by their index
	// in the log; element 0 is unused.
	committedLog []committedEntry
	// committedAnswers holds the answers in the committed state, by operation id.
	committedAnswers map[string]answer
	// serialInForce is the highest serial that any primary has reported as in force.
	serialInForce uint32
	// acknowledgedAnswers holds the answers that were sent to operators, by operation id.
	acknowledgedAnswers map[string]answer
	// history holds the answered operations, for the linearizability check.
	history []porcupine.Operation
}

// election is the first time that a machine was observed to lead in a term.
type election struct {
	term uint64
	at   time.Duration
}

// writtenEntry describes an entry on a disk. previousTerm is the term of the preceding
// entry, 0 if unknown.
type writtenEntry struct {
	entryDigest  uint64
	previousTerm uint64
}

// committedEntry describes a committed entry and the state after it.
type committedEntry struct {
	term        uint64
	entryDigest uint64
	stateDigest uint64
	serial      uint32
	// commitTerm is the term of the machine that first applied the entry. The entry was
	// committed in this term or an earlier one.
	commitTerm uint64
}

func newChecks(w *world) *checks {
	return &checks{
		world:               w,
		diskOwners:          make(map[consensus.ID]*machine),
		leaderByTerm:        make(map[uint64]consensus.ID),
		writtenEntries:      make(map[logPosition]writtenEntry),
		committedAnswers:    make(map[string]answer),
		acknowledgedAnswers: make(map[string]answer),
	}
}

// recordInitialMembership records the first membership, which is the entry at index 1 of
// term 1.
func (c *checks) recordInitialMembership(group consensus.Membership) {
	for position, member := range group.Members {
		c.assignDisk(member.ID, c.world.machines[position])
	}
	initial := newStateMachine()
	c.committedLog = []committedEntry{{}, {term: 1, stateDigest: initial.digest(), serial: initial.serial(), commitTerm: 1}}
}

// assignDisk records the machine that has a disk.
func (c *checks) assignDisk(identity consensus.ID, m *machine) {
	c.diskOwners[identity] = m
}

// machineOf returns the machine that has, or had, a disk. It returns nil if the identity
// is unknown.
func (c *checks) machineOf(identity consensus.ID) *machine {
	return c.diskOwners[identity]
}

// commitIndex returns the highest index that any machine has applied.
func (c *checks) commitIndex() uint64 {
	return uint64(len(c.committedLog) - 1)
}

// digestOf returns a hash of an entry's kind and data.
func digestOf(entry consensus.Entry) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte{byte(entry.Kind)})
	_, _ = hash.Write(entry.Data)
	return hash.Sum64()
}

// observeLeadership checks RuleElectionSafety, and for a new leader
// RuleLeaderCompleteness. It is called after each step of a machine.
func (c *checks) observeLeadership(m *machine) {
	term, leading := m.node.Leadership()
	if !leading {
		return
	}
	first, known := c.leaderByTerm[term]
	if !known {
		c.leaderByTerm[term] = m.identity
		c.elections = append(c.elections, election{term, c.world.now})
		c.world.result.Elections++
		c.checkCompleteness(m, term)
		c.world.afterElection(m)
	} else if first != m.identity {
		c.world.recordViolation(RuleElectionSafety, "%s and %s lead in term %d", first, m.identity, term)
	}
	c.checkContact(m, term)
}

// checkCompleteness checks RuleLeaderCompleteness. It reads the disk of a new leader,
// which holds its complete log, because the first entry of its term has just been
// written.
func (c *checks) checkCompleteness(m *machine, term uint64) {
	index := c.commitIndex()
	for index > 1 && c.committedLog[index].commitTerm >= term {
		index--
	}
	stored, err := m.store.Load()
	if err != nil {
		c.world.recordViolation(RuleDurability, "%s: %v", m.name, err)
		return
	}
	if stored.Snapshot.Index >= index {
		return
	}
	for _, entry := range stored.Entries {
		if entry.Index == index && entry.Term == c.committedLog[index].term {
			return
		}
	}
	c.world.recordViolation(RuleLeaderCompleteness, "%s leads in term %d without the committed entry at index %d of term %d", m.name, term, index, c.committedLog[index].term)
}

// checkContact checks RuleQuorumContact: a leader never reports a quorum contact that is
// later than the election of a leader of a higher term.
func (c *checks) checkContact(m *machine, term uint64) {
	contact, known := m.node.QuorumContact()
	if !known {
		return
	}
	at := m.worldTime(contact)
	for _, successor := range c.elections {
		if successor.term > term && at > successor.at+clockResolution {
			c.world.recordViolation(RuleQuorumContact, "%s of term %d reports a quorum contact at %v, after the election of term %d at %v",
				m.name, term, at, successor.term, successor.at)
		}
	}
}

// entriesWritten checks RuleLogMatching: entries with equal index and term are equal on
// all disks, and so are their predecessors.
func (c *checks) entriesWritten(m *machine, entries []consensus.Entry) {
	for position, entry := range entries {
		written := writtenEntry{entryDigest: digestOf(entry)}
		if position > 0 {
			written.previousTerm = entries[position-1].Term
		}
		key := logPosition{entry.Index, entry.Term}
		before, known := c.writtenEntries[key]
		if !known {
			c.writtenEntries[key] = written
			continue
		}
		differs := before.entryDigest != written.entryDigest ||
			before.previousTerm != 0 && written.previousTerm != 0 && before.previousTerm != written.previousTerm
		if differs {
			c.world.recordViolation(RuleLogMatching, "%s has a different entry at index %d of term %d", m.name, entry.Index, entry.Term)
		}
		if before.previousTerm == 0 {
			c.writtenEntries[key] = written
		}
	}
}

// entryApplied checks RuleStateMachineSafety: it compares an applied entry and the state
// after it with those of the first machine that applied this index.
func (c *checks) entryApplied(m *machine, entry consensus.Entry) {
	content, digest := digestOf(entry), m.state.digest()
	if entry.Index <= c.commitIndex() {
		first := c.committedLog[entry.Index]
		if first.term != entry.Term || first.entryDigest != content {
			c.world.recordViolation(RuleStateMachineSafety, "%s applied an entry at index %d that differs in term or content from the first one: its term is %d, the term of the first one %d", m.name, entry.Index, entry.Term, first.term)
		} else if first.stateDigest != digest {
			c.world.recordViolation(RuleStateMachineSafety, "%s has a different state after index %d", m.name, entry.Index)
		}
		return
	}
	if entry.Index != c.commitIndex()+1 {
		c.world.recordViolation(RuleStateMachineSafety, "%s applied index %d, but the highest applied index is %d", m.name, entry.Index, c.commitIndex())
		return
	}
	term, _ := m.node.Leadership()
	previous := c.committedLog[c.commitIndex()]
	if digest != previous.stateDigest && m.state.serial() <= previous.serial {
		c.world.recordViolation(RuleSerialIncrease, "index %d changed the state, but the serial is %d after %d", entry.Index, m.state.serial(), previous.serial)
	}
	if m.state.serial() < previous.serial {
		c.world.recordViolation(RuleSerialIncrease, "serial decreased to %d from %d", m.state.serial(), previous.serial)
	}
	c.committedLog = append(c.committedLog, committedEntry{entry.Term, content, digest, m.state.serial(), term})
	c.world.result.Committed++
	c.recordAnswers(m, entry)
}

// recordAnswers checks RuleSingleAnswer for the answers that an entry contains, and records
// them as committed.
func (c *checks) recordAnswers(m *machine, entry consensus.Entry) {
	if entry.Kind != consensus.EntryNormal {
		return
	}
	update, err := registry.DecodeUpdate(entry.Data)
	if err != nil {
		return
	}
	for _, record := range update.Changes {
		if record.Type != typeAnswer {
			continue
		}
		id := operationID(record)
		given, known := m.state.answer(id)
		if first, before := c.committedAnswers[id]; before && (!known || first != given) {
			c.world.recordViolation(RuleSingleAnswer, "order %s was answered %+v, then %+v", id, first, given)
		}
		if known {
			c.committedAnswers[id] = given
		}
	}
}

// snapshotRestored checks the state after a snapshot was restored.
func (c *checks) snapshotRestored(m *machine, snapshot consensus.Snapshot) {
	if snapshot.Index > c.commitIndex() {
		c.world.recordViolation(RuleStateMachineSafety, "%s restored a snapshot at index %d, but the commit index is %d", m.name, snapshot.Index, c.commitIndex())
		return
	}
	first := c.committedLog[snapshot.Index]
	if first.term != snapshot.Term || first.stateDigest != m.state.digest() {
		c.world.recordViolation(RuleStateMachineSafety, "%s restored a different state at index %d", m.name, snapshot.Index)
	}
}

// answerAcknowledged checks an answer that a machine sends: it must be committed, and equal
// to every answer that was sent for the operation before.
func (c *checks) answerAcknowledged(m *machine, id string, given answer) {
	if committed, known := c.committedAnswers[id]; !known || committed != given {
		c.world.recordViolation(RuleDurability, "%s acknowledged order %s with %+v, but the committed answer is %+v", m.name, id, given, committed)
	}
	if first, known := c.acknowledgedAnswers[id]; known && first != given {
		c.world.recordViolation(RuleSingleAnswer, "order %s was answered %+v, then %+v", id, first, given)
	}
	c.acknowledgedAnswers[id] = given
	c.world.afterAnswer(m)
}

// serialReported checks all gateways against a serial that a primary has just reported to
// be in force.
func (c *checks) serialReported(serial uint32) {
	if serial <= c.serialInForce {
		return
	}
	c.serialInForce = serial
	for _, g := range c.world.gateways {
		if g.canPlace() {
			c.checkPlacement(g)
		}
	}
}

// checkPlacement checks RuleSerialInForce for a gateway that places a request, or could
// place one. Serials are compared as numbers, since they never wrap in a history.
func (c *checks) checkPlacement(g *gateway) {
	if g.activeSerial < c.serialInForce {
		c.world.recordViolation(RuleSerialInForce, "%s acts on serial %d, but serial %d was reported to be in force", g.name, g.activeSerial, c.serialInForce)
	}
}

// checkFinalState compares the states of all machines after the service has recovered,
// and checks that the operations are linearizable.
func (w *world) checkFinalState() {
	if w.violated() {
		return
	}
	last := w.checks.committedLog[w.checks.commitIndex()]
	for _, m := range w.activeMachines() {
		if m.retiring {
			continue
		}
		if m.node == nil || m.applied != w.checks.commitIndex() || m.state.digest() != last.stateDigest {
			w.recordViolation(RuleStateMachineSafety, "%s ends at applied index %d with commit index %d, or in a different state", m.name, m.applied, w.checks.commitIndex())
			return
		}
		w.checkAnswersStored(m)
	}
	w.checks.checkLinearizability()
}

// checkAnswersStored checks that a machine's state contains every answer that an operator
// received.
func (w *world) checkAnswersStored(m *machine) {
	for _, o := range w.operators {
		for id, given := range o.answers {
			if stored, _ := m.state.answer(id); stored != given {
				w.recordViolation(RuleDurability, "%s stores answer %+v to order %s, but its operator received %+v", m.name, stored, id, given)
			}
		}
	}
}
