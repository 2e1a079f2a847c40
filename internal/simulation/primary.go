package simulation

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/internal/defect"
)

const (
	joinInterval = 150 * time.Millisecond
	// joinFresh is how recent a request to join must be.
	joinFresh = time.Second
	// learnerPatience is how long a silent learner stays a member.
	learnerPatience = 2 * time.Second
	// reachable is how recent an answer must be for a member to count as reachable.
	reachable = 500 * time.Millisecond
)

// primary is what a machine keeps while it leads.
type primary struct {
	term  uint64
	since time.Duration // on the local clock
}

// waiting is one operator that waits for the answer to an order.
type waiting struct {
	operator  *operator
	forwarded bool
}

// lead does a leader's periodic work.
func (m *machine) lead() {
	term, leading := m.node.Office()
	if !leading {
		return
	}
	if m.office.term != term {
		m.takeOffice(term)
	}
	m.repair()
	m.work()
}

func (m *machine) takeOffice(term uint64) {
	m.office = primary{term: term, since: m.clock()}
	m.proposed = make(map[string]place)
}

// askOrder takes an operator's order in. Only a leader proposes; the others
// forward it once.
func (m *machine) askOrder(asked order, from waiting) {
	if _, leading := m.node.Office(); !leading {
		m.forwardOrder(asked, from)
		return
	}
	m.asked[asked.ID] = append(m.asked[asked.ID], from)
	if _, known := m.state.answers[asked.ID]; known {
		return // answered by answerOrders, once it is in force
	}
	if at, open := m.proposed[asked.ID]; open && at.term == m.office.term {
		return
	}
	data, err := cbor.Marshal(asked)
	if err != nil {
		panic(err)
	}
	index, term, err := m.node.Propose(m.clock(), data)
	if err != nil {
		return
	}
	m.proposed[asked.ID] = place{index, term}
	if m.world.has(defect.AcknowledgeProposal) {
		m.acknowledgeEarly(asked)
	}
}

func (m *machine) forwardOrder(asked order, from waiting) {
	leader := m.world.checks.holder(m.node.Status().Leader)
	if from.forwarded || leader == nil || leader == m {
		return
	}
	from.forwarded = true
	m.world.network.send(m.name, leader.name, func() {
		leader.receive(func() { leader.askOrder(asked, from) })
	})
}

func (m *machine) acknowledgeEarly(asked order) {
	trial := newBook()
	data, _ := m.state.snapshot(false)
	_ = trial.restore(data)
	encoded, _ := cbor.Marshal(asked)
	_ = trial.apply(encoded)
	m.reply(asked.ID, trial.answers[asked.ID])
}

// answerOrders answers what is applied here and in force everywhere. A machine
// that has lost its office may still answer: what is applied stays.
func (m *machine) answerOrders() {
	if len(m.asked) == 0 {
		return
	}
	ids := make([]string, 0, len(m.asked))
	for id := range m.asked {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		given, known := m.state.answers[id]
		if known && m.inForce(given.Serial) {
			m.reply(id, given)
		}
	}
}

func (m *machine) reply(id string, given answer) {
	m.world.checks.acknowledged(m, id, given)
	for _, from := range m.asked[id] {
		m.world.network.send(m.name, from.operator.name, func() {
			from.operator.answered(id, given)
		})
	}
	delete(m.asked, id)
}

// joinLater lets a machine that is not a voter ask for membership.
func (m *machine) joinLater(process int) {
	m.world.after(joinInterval, func() {
		if m.process != process || m.node == nil {
			return
		}
		if !m.frozen && !m.votes() {
			m.askToJoin()
		}
		m.joinLater(process)
	})
}

func (m *machine) votes() bool {
	for _, member := range m.node.Status().Membership.Members {
		if member.ID == m.identity {
			return !member.Learner
		}
	}
	return false
}

func (m *machine) askToJoin() {
	for _, other := range m.world.machines {
		if other == m {
			continue
		}
		request := joining{member: m.member(m.identity), replaces: m.replaces}
		m.world.network.send(m.name, other.name, func() {
			other.receive(func() { other.noteJoin(request) })
		})
	}
}

func (m *machine) noteJoin(request joining) {
	if _, leading := m.node.Office(); !leading {
		return
	}
	request.heard = m.clock()
	m.joins[request.member.ID] = request
}

// repair takes the next step for one machine that wants to join: add it as a
// learner, wait until it has caught up, remove whom it replaces, let it vote.
func (m *machine) repair() {
	status := m.node.Status()
	if m.dropSilentLearner(status) {
		return
	}
	for _, id := range m.freshJoins() {
		next, changes := nextMembership(status, m.joins[id])
		if !changes {
			continue
		}
		if _, _, err := m.node.ProposeMembership(m.clock(), next); err != nil && !m.world.has(defect.TwoMembershipChanges) {
			return
		}
	}
}

func (m *machine) freshJoins() []consensus.ID {
	ids := make([]consensus.ID, 0, len(m.joins))
	for id, request := range m.joins {
		if m.clock()-request.heard <= joinFresh {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// dropSilentLearner takes back the addition of a machine that has gone away, or
// whose late request to join came after its removal.
func (m *machine) dropSilentLearner(status consensus.Status) bool {
	for position, member := range status.Membership.Members {
		heard := max(m.office.since, status.Contact[member.ID], m.joins[member.ID].heard)
		if !member.Learner || m.clock()-heard < learnerPatience {
			continue
		}
		rest := slices.Delete(slices.Clone(status.Membership.Members), position, position+1)
		_, _, err := m.node.ProposeMembership(m.clock(), consensus.Membership{Members: rest})
		return err == nil
	}
	return false
}

// nextMembership returns the next membership on the way to the request.
func nextMembership(status consensus.Status, request joining) (consensus.Membership, bool) {
	members := slices.Clone(status.Membership.Members)
	own := slices.IndexFunc(members, func(member consensus.Member) bool { return member.ID == request.member.ID })
	if own < 0 {
		learner := request.member
		learner.Learner = true
		return consensus.Membership{Members: append(members, learner)}, true
	}
	if !members[own].Learner || status.Match[request.member.ID] < status.Commit {
		return consensus.Membership{}, false
	}
	replaced := slices.IndexFunc(members, func(member consensus.Member) bool {
		return member.ID != request.member.ID && (member.Name == request.member.Name || member.Name == request.replaces)
	})
	if replaced >= 0 {
		return consensus.Membership{Members: slices.Delete(members, replaced, replaced+1)}, true
	}
	members[own].Learner = false
	return consensus.Membership{Members: members}, true
}

// repairDone is what a leader reports as a whole group: enough voters, all
// reachable and holding everything committed, and no learner left.
func (m *machine) repairDone() bool {
	if !m.up() {
		return false
	}
	status := m.node.Status()
	contact, known := m.node.QuorumContact()
	if !known || m.clock()-contact > reachable || status.Role != consensus.Leader {
		return false
	}
	if len(status.Membership.Members) != m.world.faults.size {
		return false
	}
	for _, member := range status.Membership.Members {
		heard, answered := status.Contact[member.ID]
		if member.Learner || !answered || m.clock()-heard > reachable || status.Match[member.ID] < status.Commit {
			return false
		}
	}
	return true
}
