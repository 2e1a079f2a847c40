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
	RuleOneLeader    Rule = "one leader a term"
	RuleCompleteness Rule = "a new leader holds everything committed"
	RuleLogMatching  Rule = "logs match"
	RuleAgreement    Rule = "state machines agree"
	RuleSerial       Rule = "the serial rises with each change"
	RuleAnswer       Rule = "an order has one answer"
	RuleDurable      Rule = "what was acknowledged stays"
	RuleContact      Rule = "no fresh contact beside a successor"
	RuleInForce      Rule = "nobody acts on an older serial than acknowledged"
	RuleLinearizable Rule = "orders are linearizable"
	RuleProgress     Rule = "service returns"
)

// clockGrain covers the rounding between two clocks.
const clockGrain = time.Microsecond

// checks watches everything from outside.
type checks struct {
	world *world
	// holders tells which machine has, or had, an identity's disk.
	holders map[consensus.ID]*machine
	leaders map[uint64]consensus.ID
	elected []election
	// written holds each entry ever written, by index and term.
	written map[place]writtenEntry
	// ledger holds each committed entry, from index 1, as first applied.
	ledger  []ledgerEntry
	answers map[string]answer
	// inForce is the highest serial that any primary has reported in force.
	inForce          uint32
	acknowledgements map[string]answer
	operations       []porcupine.Operation
}

type election struct {
	term uint64
	at   time.Duration
}

type writtenEntry struct {
	content      uint64
	previousTerm uint64
}

type ledgerEntry struct {
	term    uint64
	content uint64
	digest  uint64
	serial  uint32
	// known is the term in which the entry was known as committed.
	known uint64
}

func newChecks(w *world) *checks {
	return &checks{
		world:            w,
		holders:          make(map[consensus.ID]*machine),
		leaders:          make(map[uint64]consensus.ID),
		written:          make(map[place]writtenEntry),
		answers:          make(map[string]answer),
		acknowledgements: make(map[string]answer),
	}
}

// formed notes the first membership, which stands at index 1 in term 1.
func (c *checks) formed(group consensus.Membership) {
	for position, member := range group.Members {
		c.owns(member.ID, c.world.machines[position])
	}
	fresh := newBook()
	c.ledger = []ledgerEntry{{}, {term: 1, digest: fresh.digest(), serial: fresh.serial(), known: 1}}
}

func (c *checks) owns(identity consensus.ID, m *machine) {
	c.holders[identity] = m
}

func (c *checks) holder(identity consensus.ID) *machine {
	return c.holders[identity]
}

func (c *checks) committed() uint64 {
	return uint64(len(c.ledger) - 1)
}

func contentOf(entry consensus.Entry) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte{byte(entry.Kind)})
	_, _ = hash.Write(entry.Data)
	return hash.Sum64()
}

// afterStep checks a machine's leadership.
func (c *checks) afterStep(m *machine) {
	term, leading := m.node.Leadership()
	if !leading {
		return
	}
	first, known := c.leaders[term]
	if !known {
		c.leaders[term] = m.identity
		c.elected = append(c.elected, election{term, c.world.now})
		c.world.result.Elections++
		c.checkCompleteness(m, term)
		c.world.afterElection(m)
	} else if first != m.identity {
		c.world.violate(RuleOneLeader, "%s and %s lead in term %d", first, m.identity, term)
	}
	c.checkContact(m, term)
}

// checkCompleteness looks at the disk of a new leader, which holds its whole
// log, since the entry of its own term has just been written.
func (c *checks) checkCompleteness(m *machine, term uint64) {
	index := c.committed()
	for index > 1 && c.ledger[index].known >= term {
		index--
	}
	held, err := m.store.Load()
	if err != nil {
		c.world.violate(RuleDurable, "%s: %v", m.name, err)
		return
	}
	if held.Snapshot.Index >= index {
		return
	}
	for _, entry := range held.Entries {
		if entry.Index == index && entry.Term == c.ledger[index].term {
			return
		}
	}
	c.world.violate(RuleCompleteness, "%s leads in term %d without index %d of term %d", m.name, term, index, c.ledger[index].term)
}

// checkContact compares a leader's contact with its successors' elections: they
// may follow it only.
func (c *checks) checkContact(m *machine, term uint64) {
	contact, known := m.node.QuorumContact()
	if !known {
		return
	}
	at := m.global(contact)
	for _, successor := range c.elected {
		if successor.term > term && at > successor.at+clockGrain {
			c.world.violate(RuleContact, "%s of term %d reports a contact at %v, after the election of term %d at %v",
				m.name, term, at, successor.term, successor.at)
		}
	}
}

// persisted checks new entries against every other log (the log matching property).
func (c *checks) persisted(m *machine, entries []consensus.Entry) {
	for position, entry := range entries {
		fresh := writtenEntry{content: contentOf(entry)}
		if position > 0 {
			fresh.previousTerm = entries[position-1].Term
		}
		key := place{entry.Index, entry.Term}
		before, known := c.written[key]
		if !known {
			c.written[key] = fresh
			continue
		}
		differs := before.content != fresh.content ||
			before.previousTerm != 0 && fresh.previousTerm != 0 && before.previousTerm != fresh.previousTerm
		if differs {
			c.world.violate(RuleLogMatching, "%s holds another entry at index %d of term %d", m.name, entry.Index, entry.Term)
		}
		if before.previousTerm == 0 {
			c.written[key] = fresh
		}
	}
}

// appliedEntry compares an applied entry and the state after it with those of
// the first machine that applied this index.
func (c *checks) appliedEntry(m *machine, entry consensus.Entry) {
	content, digest := contentOf(entry), m.state.digest()
	if entry.Index <= c.committed() {
		first := c.ledger[entry.Index]
		if first.term != entry.Term || first.content != content {
			c.world.violate(RuleAgreement, "%s applied index %d of term %d, first applied of term %d", m.name, entry.Index, entry.Term, first.term)
		} else if first.digest != digest {
			c.world.violate(RuleAgreement, "%s has another state after index %d", m.name, entry.Index)
		}
		return
	}
	if entry.Index != c.committed()+1 {
		c.world.violate(RuleAgreement, "%s applied index %d after %d", m.name, entry.Index, c.committed())
		return
	}
	term, _ := m.node.Leadership()
	previous := c.ledger[c.committed()]
	if digest != previous.digest && m.state.serial() <= previous.serial {
		c.world.violate(RuleSerial, "index %d changed the state, serial %d after %d", entry.Index, m.state.serial(), previous.serial)
	}
	if m.state.serial() < previous.serial {
		c.world.violate(RuleSerial, "serial %d after %d", m.state.serial(), previous.serial)
	}
	c.ledger = append(c.ledger, ledgerEntry{entry.Term, content, digest, m.state.serial(), term})
	c.world.result.Committed++
	c.noteAnswer(m, entry)
}

func (c *checks) noteAnswer(m *machine, entry consensus.Entry) {
	if entry.Kind != consensus.EntryNormal {
		return
	}
	update, err := registry.DecodeUpdate(entry.Data)
	if err != nil {
		return
	}
	for _, record := range update.Changes {
		if record.Type != typeOrder {
			continue
		}
		id := idOf(record)
		given, known := m.state.answer(id)
		if first, before := c.answers[id]; before && (!known || first != given) {
			c.world.violate(RuleAnswer, "order %s was answered %+v, then %+v", id, first, given)
		}
		if known {
			c.answers[id] = given
		}
	}
}

// restored checks the state that a snapshot brought.
func (c *checks) restored(m *machine, snapshot consensus.Snapshot) {
	if snapshot.Index > c.committed() {
		c.world.violate(RuleAgreement, "%s restored a snapshot at %d, committed is %d", m.name, snapshot.Index, c.committed())
		return
	}
	first := c.ledger[snapshot.Index]
	if first.term != snapshot.Term || first.digest != m.state.digest() {
		c.world.violate(RuleAgreement, "%s restored another state at index %d", m.name, snapshot.Index)
	}
}

// acknowledged checks an answer at the moment at which it is given.
func (c *checks) acknowledged(m *machine, id string, given answer) {
	if committed, known := c.answers[id]; !known || committed != given {
		c.world.violate(RuleDurable, "%s acknowledged order %s with %+v, committed is %+v", m.name, id, given, committed)
	}
	if first, known := c.acknowledgements[id]; known && first != given {
		c.world.violate(RuleAnswer, "order %s was answered %+v, then %+v", id, first, given)
	}
	c.acknowledgements[id] = given
	c.world.afterAnswer(m)
}

// reportedInForce checks every gateway against what a primary has just reported.
func (c *checks) reportedInForce(serial uint32) {
	if serial <= c.inForce {
		return
	}
	c.inForce = serial
	for _, g := range c.world.gateways {
		if g.mayPlace() {
			c.placed(g)
		}
	}
}

// placed checks a gateway that acts, or could act, on its active serial. The
// serials of a history never wrap.
func (c *checks) placed(g *gateway) {
	if g.active < c.inForce {
		c.world.violate(RuleInForce, "%s acts on serial %d, %d was reported in force", g.name, g.active, c.inForce)
	}
}

// record keeps one operation as its operator saw it.
func (c *checks) record(o *operator, open *openOrder, given answer) {
	c.operations = append(c.operations, porcupine.Operation{
		ClientId: operatorIndex(c.world, o),
		Input:    open.order,
		Output:   given,
		Call:     int64(open.asked),
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

// checkEnd compares everything once the group is at rest.
func (w *world) checkEnd() {
	if w.broken() {
		return
	}
	last := w.checks.ledger[w.checks.committed()]
	for _, m := range w.present() {
		if m.retiring {
			continue
		}
		if m.node == nil || m.applied != w.checks.committed() || m.state.digest() != last.digest {
			w.violate(RuleAgreement, "%s ends at index %d, committed is %d", m.name, m.applied, w.checks.committed())
			return
		}
		w.checkKept(m)
	}
	if verdict := porcupine.CheckOperationsTimeout(orderModel, w.checks.operations, linearizeLimit); verdict == porcupine.Illegal {
		w.violate(RuleLinearizable, "%d operations have no order", len(w.checks.operations))
	} else if verdict == porcupine.Unknown {
		w.violate(RuleLinearizable, "undecided after %v: %d operations", linearizeLimit, len(w.checks.operations))
	}
}

func (w *world) checkKept(m *machine) {
	for _, o := range w.operators {
		for id, given := range o.answers {
			if held, _ := m.state.answer(id); held != given {
				w.violate(RuleDurable, "%s holds %+v for order %s, its operator was told %+v", m.name, held, id, given)
			}
		}
	}
}

// linearizeLimit bounds the search for an order; it takes milliseconds.
const linearizeLimit = time.Minute

// registerState is the state of the sequential model: a value with a version,
// and the answers to the orders so far.
type registerState struct {
	version uint64
	content uint64
	answers map[string]answer
}

// orderModel is what operators may rely on: each order takes effect once, at
// one moment between its call and its answer.
var orderModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		held, asked, given := state.(registerState), input.(order), output.(answer) //nolint:forcetypeassert // porcupine hands back what record and Init gave it
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
