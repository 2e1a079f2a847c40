package simulation

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/registry"
)

// Rule is something that must hold in every history.
type Rule string

// The rules.
const (
	RuleElectionSafety     Rule = "one leader a term"
	RuleLeaderCompleteness Rule = "a new leader holds everything committed"
	RuleLogMatching        Rule = "logs match"
	RuleStateMachineSafety Rule = "state machines agree"
	RuleSerialIncrease     Rule = "the serial rises with each change"
	RuleSingleAnswer       Rule = "an order has one answer"
	RuleDurability         Rule = "what was acknowledged stays"
	RuleQuorumContact      Rule = "no fresh contact beside a successor"
	RuleSerialInForce      Rule = "nobody acts on an older serial than acknowledged"
	RuleLinearizability    Rule = "orders are linearizable"
	RuleProgress           Rule = "service returns"
)

// clockResolution covers the rounding between two clocks.
const clockResolution = time.Microsecond

// checks watches everything from outside.
type checks struct {
	world *world
	// diskOwners tells which machine has, or had, an identity's disk.
	diskOwners   map[consensus.ID]*machine
	leaderByTerm map[uint64]consensus.ID
	elections    []election
	// writtenEntries holds each entry ever writtenEntries, by index and term.
	writtenEntries map[logPosition]writtenEntry
	// committedLog holds each committed entry, from index 1, as first applied.
	committedLog     []committedEntry
	committedAnswers map[string]answer
	// serialInForce is the highest serial that any primary has reported in force.
	serialInForce       uint32
	acknowledgedAnswers map[string]answer
	history             []porcupine.Operation
}

type election struct {
	term uint64
	at   time.Duration
}

type writtenEntry struct {
	entryDigest  uint64
	previousTerm uint64
}

type committedEntry struct {
	term        uint64
	entryDigest uint64
	stateDigest uint64
	serial      uint32
	// commitTerm is the term in which the entry was commitTerm as committed.
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

// groupFormed notes the first membership, which stands at index 1 in term 1.
func (c *checks) groupFormed(group consensus.Membership) {
	for position, member := range group.Members {
		c.assignDisk(member.ID, c.world.machines[position])
	}
	fresh := newStateMachine()
	c.committedLog = []committedEntry{{}, {term: 1, stateDigest: fresh.digest(), serial: fresh.serial(), commitTerm: 1}}
}

func (c *checks) assignDisk(identity consensus.ID, m *machine) {
	c.diskOwners[identity] = m
}

func (c *checks) machineOf(identity consensus.ID) *machine {
	return c.diskOwners[identity]
}

func (c *checks) commitIndex() uint64 {
	return uint64(len(c.committedLog) - 1)
}

func digestOf(entry consensus.Entry) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte{byte(entry.Kind)})
	_, _ = hash.Write(entry.Data)
	return hash.Sum64()
}

// observeLeadership checks a machine's leadership.
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

// checkCompleteness looks at the disk of a new leader, which holds its whole
// log, since the entry of its own term has just been written.
func (c *checks) checkCompleteness(m *machine, term uint64) {
	index := c.commitIndex()
	for index > 1 && c.committedLog[index].commitTerm >= term {
		index--
	}
	held, err := m.store.Load()
	if err != nil {
		c.world.recordViolation(RuleDurability, "%s: %v", m.name, err)
		return
	}
	if held.Snapshot.Index >= index {
		return
	}
	for _, entry := range held.Entries {
		if entry.Index == index && entry.Term == c.committedLog[index].term {
			return
		}
	}
	c.world.recordViolation(RuleLeaderCompleteness, "%s leads in term %d without index %d of term %d", m.name, term, index, c.committedLog[index].term)
}

// checkContact compares a leader's contact with its successors' elections: they
// may follow it only.
func (c *checks) checkContact(m *machine, term uint64) {
	contact, known := m.node.QuorumContact()
	if !known {
		return
	}
	at := m.worldTime(contact)
	for _, successor := range c.elections {
		if successor.term > term && at > successor.at+clockResolution {
			c.world.recordViolation(RuleQuorumContact, "%s of term %d reports a contact at %v, after the election of term %d at %v",
				m.name, term, at, successor.term, successor.at)
		}
	}
}

// entriesWritten checks new entries against every other log (the log matching property).
func (c *checks) entriesWritten(m *machine, entries []consensus.Entry) {
	for position, entry := range entries {
		fresh := writtenEntry{entryDigest: digestOf(entry)}
		if position > 0 {
			fresh.previousTerm = entries[position-1].Term
		}
		key := logPosition{entry.Index, entry.Term}
		before, known := c.writtenEntries[key]
		if !known {
			c.writtenEntries[key] = fresh
			continue
		}
		differs := before.entryDigest != fresh.entryDigest ||
			before.previousTerm != 0 && fresh.previousTerm != 0 && before.previousTerm != fresh.previousTerm
		if differs {
			c.world.recordViolation(RuleLogMatching, "%s holds another entry at index %d of term %d", m.name, entry.Index, entry.Term)
		}
		if before.previousTerm == 0 {
			c.writtenEntries[key] = fresh
		}
	}
}

// entryApplied compares an applied entry and the state after it with those of
// the first machine that applied this index.
func (c *checks) entryApplied(m *machine, entry consensus.Entry) {
	content, digest := digestOf(entry), m.state.digest()
	if entry.Index <= c.commitIndex() {
		first := c.committedLog[entry.Index]
		if first.term != entry.Term || first.entryDigest != content {
			c.world.recordViolation(RuleStateMachineSafety, "%s applied index %d of term %d, first applied of term %d", m.name, entry.Index, entry.Term, first.term)
		} else if first.stateDigest != digest {
			c.world.recordViolation(RuleStateMachineSafety, "%s has another state after index %d", m.name, entry.Index)
		}
		return
	}
	if entry.Index != c.commitIndex()+1 {
		c.world.recordViolation(RuleStateMachineSafety, "%s applied index %d after %d", m.name, entry.Index, c.commitIndex())
		return
	}
	term, _ := m.node.Leadership()
	previous := c.committedLog[c.commitIndex()]
	if digest != previous.stateDigest && m.state.serial() <= previous.serial {
		c.world.recordViolation(RuleSerialIncrease, "index %d changed the state, serial %d after %d", entry.Index, m.state.serial(), previous.serial)
	}
	if m.state.serial() < previous.serial {
		c.world.recordViolation(RuleSerialIncrease, "serial %d after %d", m.state.serial(), previous.serial)
	}
	c.committedLog = append(c.committedLog, committedEntry{entry.Term, content, digest, m.state.serial(), term})
	c.world.result.Committed++
	c.recordAnswers(m, entry)
}

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

// snapshotRestored checks the state that a snapshot brought.
func (c *checks) snapshotRestored(m *machine, snapshot consensus.Snapshot) {
	if snapshot.Index > c.commitIndex() {
		c.world.recordViolation(RuleStateMachineSafety, "%s restored a snapshot at %d, committed is %d", m.name, snapshot.Index, c.commitIndex())
		return
	}
	first := c.committedLog[snapshot.Index]
	if first.term != snapshot.Term || first.stateDigest != m.state.digest() {
		c.world.recordViolation(RuleStateMachineSafety, "%s restored another state at index %d", m.name, snapshot.Index)
	}
}

// answerAcknowledged checks an answer at the moment at which it is given.
func (c *checks) answerAcknowledged(m *machine, id string, given answer) {
	if committed, known := c.committedAnswers[id]; !known || committed != given {
		c.world.recordViolation(RuleDurability, "%s acknowledged order %s with %+v, committed is %+v", m.name, id, given, committed)
	}
	if first, known := c.acknowledgedAnswers[id]; known && first != given {
		c.world.recordViolation(RuleSingleAnswer, "order %s was answered %+v, then %+v", id, first, given)
	}
	c.acknowledgedAnswers[id] = given
	c.world.afterAnswer(m)
}

// serialReported checks every gateway against what a primary has just reported.
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

// checkPlacement checks a gateway that acts, or could act, on its active serial. The
// serials of a history never wrap.
func (c *checks) checkPlacement(g *gateway) {
	if g.activeSerial < c.serialInForce {
		c.world.recordViolation(RuleSerialInForce, "%s acts on serial %d, %d was reported in force", g.name, g.activeSerial, c.serialInForce)
	}
}

// recordOperation keeps one operation as its operator saw it.
func (c *checks) recordOperation(o *operator, open *pendingOperation, given answer) {
	c.history = append(c.history, porcupine.Operation{
		ClientId: operatorIndex(c.world, o),
		Input:    open.operation,
		Output:   given,
		Call:     int64(open.issuedAt),
		Return:   int64(c.world.now),
	})
}

func operatorIndex(w *world, wanted *operator) int {
	for position, o := range w.operators {
		if o == wanted {
			return position
		}
	}
	return -1
}

// checkFinalState compares everything once the group is at rest.
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
			w.recordViolation(RuleStateMachineSafety, "%s ends at index %d, committed is %d", m.name, m.applied, w.checks.commitIndex())
			return
		}
		w.checkAnswersKept(m)
	}
	if verdict := porcupine.CheckOperationsTimeout(operationModel, w.checks.history, linearizabilityTimeout); verdict == porcupine.Illegal {
		w.recordViolation(RuleLinearizability, "%d operations have no order", len(w.checks.history))
	} else if verdict == porcupine.Unknown {
		w.recordViolation(RuleLinearizability, "undecided after %v: %d operations", linearizabilityTimeout, len(w.checks.history))
	}
}

func (w *world) checkAnswersKept(m *machine) {
	for _, o := range w.operators {
		for id, given := range o.answers {
			if held, _ := m.state.answer(id); held != given {
				w.recordViolation(RuleDurability, "%s holds %+v for order %s, its operator was told %+v", m.name, held, id, given)
			}
		}
	}
}

// linearizabilityTimeout bounds the search for an order; it takes milliseconds.
const linearizabilityTimeout = time.Minute

// registerState is the state of the sequential model: a value with a version,
// and the answers to the orders so far.
type registerState struct {
	version uint64
	content uint64
	answers map[string]answer
}

// operationModel is what operators may rely on: each order takes effect once, at
// one moment between its call and its answer.
var operationModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		held, asked, given := state.(registerState), input.(operation), output.(answer) //nolint:forcetypeassert // porcupine hands back what record and Init gave it
		if first, known := held.answers[asked.ID]; known {
			return first == given, held
		}
		next := registerState{version: held.version, content: held.content, answers: make(map[string]answer, len(held.answers)+1)}
		for id, past := range held.answers {
			next.answers[id] = past
		}
		accepted := asked.Base == held.version
		if accepted {
			next.version++
			next.content = asked.contentAfter(held.content)
		}
		next.answers[asked.ID] = given
		whole := !accepted || given.Content == next.content
		return given.Accepted == accepted && given.Version == next.version && whole, next
	},
	Equal: func(one, other any) bool {
		a, b := one.(registerState), other.(registerState) //nolint:forcetypeassert // porcupine hands back what Init and Step gave it
		if a.version != b.version || a.content != b.content || len(a.answers) != len(b.answers) {
			return false
		}
		for id, given := range a.answers {
			if b.answers[id] != given {
				return false
			}
		}
		return true
	},
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}
