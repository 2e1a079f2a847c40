package simulation

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/internal/defect"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/registry"
)

// clusterName is the group's identity in grants.
const clusterName = "group"

// skippedWait is how far the planted fault of a skipped wait moves the election
// into the past.
const skippedWait = time.Minute

// primary is what a machine keeps while it leads.
type primary struct {
	term    uint64
	elected time.Duration // on the local clock
	// grantor is nil until every entry of earlier terms is applied.
	grantor *lease.Grantor
	// proposedOperations holds the orders that are in the log but not applied, by id.
	proposedOperations map[string]uint64
	// lastNotice is what the gateways were last told of.
	lastNotice notice
	// contentAtStart is the value when the node began to grant.
	contentAtStart uint64
}

type notice struct {
	serial, activate uint32
}

// waiter is one operator that waits for the answer to an order.
type waiter struct {
	operator  *operator
	forwarded bool
}

// checkLeadership notices that the machine has become or ceased to be the leader.
func (m *machine) checkLeadership() {
	term, leading := m.node.Leadership()
	if !leading {
		m.leadership = nil
		return
	}
	if m.leadership == nil || m.leadership.term != term {
		m.leadership = &primary{term: term, elected: m.clock(), proposedOperations: make(map[string]uint64)}
	}
}

// startGranting is called once the first entry of the own term is applied: the
// table then holds everything that earlier primaries may have reported.
func (m *machine) startGranting() {
	elected := m.leadership.elected
	if m.world.hasDefect(defect.LeaseNotWaitedOut) {
		elected -= skippedWait
	}
	m.leadership.contentAtStart = m.state.content()
	m.leadership.grantor = lease.NewGrantor(lease.DefaultConfig(), m.leadership.term, elected, m.state.serial())
	m.propose(m.state.primaryUpdate(m.name))
}

func (m *machine) propose(update registry.Update) (index uint64, proposed bool) {
	data, err := registry.EncodeUpdate(&update)
	if err != nil {
		panic(err)
	}
	index, _, err = m.node.Propose(m.clock(), data)
	return index, err == nil
}

// leaderTick does a leader's periodic work.
func (m *machine) leaderTick() {
	if m.leadership == nil {
		return
	}
	m.repair()
	m.processReady()
}

// receiveOperation takes an operator's order in. Only a leader proposes; the others
// forward it once.
func (m *machine) receiveOperation(asked operation, from waiter) {
	if m.leadership == nil {
		m.forwardOperation(asked, from)
		return
	}
	m.waiters[asked.ID] = append(m.waiters[asked.ID], from)
	if _, known := m.state.answer(asked.ID); known {
		return // answerOrders replies once it is in force
	}
	if _, open := m.leadership.proposedOperations[asked.ID]; open || m.leadership.grantor == nil {
		return
	}
	index, proposed := m.propose(m.state.operationUpdate(asked, m.contentToChange()))
	if !proposed {
		return
	}
	m.leadership.proposedOperations[asked.ID] = index
	if m.world.hasDefect(defect.AcknowledgeProposal) {
		m.acknowledgeEarly(asked)
	}
}

// contentToChange is the value that an order which changes it is made to.
func (m *machine) contentToChange() uint64 {
	if m.world.hasDefect(defect.ChangeOldContent) {
		return m.leadership.contentAtStart
	}
	return m.state.content()
}

func (m *machine) forwardOperation(asked operation, from waiter) {
	leader := m.world.checks.machineOf(m.node.Status().Leader)
	if from.forwarded || leader == nil || leader == m {
		return
	}
	from.forwarded = true
	m.world.network.send(m.name, leader.name, func() {
		leader.receive(func() { leader.receiveOperation(asked, from) })
	})
}

// acknowledgeEarly is a planted fault: it answers from a trial of the update.
func (m *machine) acknowledgeEarly(asked operation) {
	trial := &stateMachine{}
	data, err := m.state.snapshot(false)
	if err != nil {
		panic(err)
	}
	if err := trial.restore(data); err != nil {
		panic(err)
	}
	update := trial.operationUpdate(asked, trial.content())
	trial.table.Apply(&update, nil)
	given, _ := trial.answer(asked.ID)
	m.sendAnswer(asked.ID, given)
}

// entryApplied tells the leadership of an applied entry.
func (m *machine) entryApplied(entry consensus.Entry) {
	if m.leadership == nil {
		return
	}
	if m.leadership.grantor == nil && entry.Term == m.leadership.term {
		m.startGranting()
	}
	if m.leadership.grantor != nil {
		m.leadership.grantor.SetSerial(m.state.serial())
	}
	for id, index := range m.leadership.proposedOperations {
		if index <= entry.Index {
			delete(m.leadership.proposedOperations, id)
		}
	}
}

// serialInForce returns the serial that every gateway with a lease decides by.
func (m *machine) serialInForce() (uint32, bool) {
	if m.leadership == nil || m.leadership.grantor == nil {
		return 0, false
	}
	if contact, known := m.quorumContact(); known {
		m.leadership.grantor.SetQuorumContact(contact)
	}
	serial, known := m.leadership.grantor.SerialInForce()
	if known {
		m.world.checks.serialReported(serial)
	}
	return serial, known
}

// quorumContact is the proof of leadership.
func (m *machine) quorumContact() (time.Duration, bool) {
	if m.world.hasDefect(defect.GrantWithoutQuorumContact) {
		return m.clock(), true
	}
	return m.node.QuorumContact()
}

// answerOperations answers what is applied here and in force everywhere.
func (m *machine) answerOperations() {
	if len(m.waiters) == 0 {
		return
	}
	serial, known := m.serialInForce()
	if !known {
		return
	}
	ids := make([]string, 0, len(m.waiters))
	for id := range m.waiters {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		given, answered := m.state.answer(id)
		if answered && !registry.SerialLess(serial, m.state.answerSerial(id)) {
			m.sendAnswer(id, given)
		}
	}
}

func (m *machine) sendAnswer(id string, given answer) {
	m.world.checks.answerAcknowledged(m, id, given)
	for _, from := range m.waiters[id] {
		m.world.network.send(m.name, from.operator.name, func() {
			from.operator.receiveAnswer(id, given)
		})
	}
	delete(m.waiters, id)
}

// notifyGateways tells them that there is something to renew for.
func (m *machine) notifyGateways() {
	if m.leadership == nil || m.leadership.grantor == nil {
		return
	}
	now := notice{serial: m.state.serial(), activate: m.leadership.grantor.ActivationSerial()}
	if now == m.leadership.lastNotice {
		return
	}
	m.leadership.lastNotice = now
	for _, g := range m.world.gateways {
		m.world.network.send(m.name, g.name, func() {
			g.receive(func() { g.sendRenewal(m) })
		})
	}
}

// answerRenewal answers a gateway's renewal.
func (m *machine) answerRenewal(g *gateway, asked renewal) {
	reply := renewalReply{from: m}
	if m.leadership != nil && m.leadership.grantor != nil {
		contact, known := m.quorumContact()
		decision := m.leadership.grantor.Renew(m.clock(), contact, known, asked.request)
		reply.decision = decision
		reply.term = m.leadership.term
		if decision.Authoritative && registry.SerialLess(asked.request.ReceivedSerial, m.state.serial()) {
			transfer := m.state.table.TransferSince(asked.request.ReceivedSerial)
			reply.transfer = &transfer
		}
	} else {
		reply.hint = m.world.checks.machineOf(m.node.Status().Leader)
	}
	m.world.network.send(m.name, g.name, func() {
		g.receive(func() { g.receiveReply(asked, reply) })
	})
}
