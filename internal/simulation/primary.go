package simulation

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/internal/defect"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/registry"
)

// clusterName is the identity of the group in grants.
const clusterName = "group"

// skippedWait is how far defect.LeaseNotWaitedOut moves the election into the past.
const skippedWait = time.Minute

// primary is the state of a machine while it leads.
type primary struct {
	term    uint64
	elected time.Duration // on the machine's clock
	// grantor grants leases. It is nil until every entry of earlier terms is applied.
	grantor *lease.Grantor
	// proposedOperations holds the log indexes of the operations that are proposed but
	// not yet applied, by operation id.
	proposedOperations map[string]uint64
	// lastNotice is the notice that was last sent to the gateways.
	lastNotice notice
	// contentAtStart is the value when the machine began to grant leases.
	contentAtStart uint64
}

// notice contains the values whose change makes gateways renew: the serial of the table
// and the serial that gateways may activate.
type notice struct {
	serial, activate uint32
}

// waiter is an operator that waits for the answer to an operation.
type waiter struct {
	operator  *operator
	forwarded bool // whether another machine forwarded the operation, so that it is not forwarded again
}

// checkLeadership updates m.leadership when the machine has become leader or has lost its
// leadership.
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

// startGranting starts to grant leases. It must not be called before the first entry of
// the machine's current term is applied: only then does the table contain everything that
// earlier primaries may have acknowledged.
func (m *machine) startGranting() {
	elected := m.leadership.elected
	if m.world.hasDefect(defect.LeaseNotWaitedOut) {
		elected -= skippedWait
	}
	m.leadership.contentAtStart = m.state.content()
	m.leadership.grantor = lease.NewGrantor(lease.DefaultConfig(), m.leadership.term, elected, m.state.serial())
	m.propose(m.state.primaryUpdate(m.name))
}

// propose proposes an update to the group. It returns the log index and whether the node
// accepted the proposal.
func (m *machine) propose(update registry.Update) (index uint64, proposed bool) {
	data, err := registry.EncodeUpdate(&update)
	if err != nil {
		panic(err)
	}
	index, _, err = m.node.Propose(m.clock(), data)
	return index, err == nil
}

// leaderTick performs the periodic work of a leader.
func (m *machine) leaderTick() {
	if m.leadership == nil {
		return
	}
	m.repairMembership()
	m.processReady()
}

// receiveOperation handles an operation. Only the leader proposes; the others forward
// the operation once.
func (m *machine) receiveOperation(requested operation, from waiter) {
	if m.leadership == nil {
		m.forwardOperation(requested, from)
		return
	}
	m.waiters[requested.ID] = append(m.waiters[requested.ID], from)
	if _, known := m.state.answer(requested.ID); known {
		return // answerOperations replies once the serial is in force
	}
	if _, proposed := m.leadership.proposedOperations[requested.ID]; proposed || m.leadership.grantor == nil {
		return
	}
	index, proposed := m.propose(m.state.operationUpdate(requested, m.contentToChange()))
	if !proposed {
		return
	}
	m.leadership.proposedOperations[requested.ID] = index
	if m.world.hasDefect(defect.AcknowledgeProposal) {
		m.acknowledgeEarly(requested)
	}
}

// contentToChange returns the value that an operation changes.
func (m *machine) contentToChange() uint64 {
	if m.world.hasDefect(defect.ChangeOldContent) {
		return m.leadership.contentAtStart
	}
	return m.state.content()
}

// forwardOperation forwards an operation to the leader, if one is known.
func (m *machine) forwardOperation(requested operation, from waiter) {
	leader := m.world.checks.machineOf(m.node.Status().Leader)
	if from.forwarded || leader == nil || leader == m {
		return
	}
	from.forwarded = true
	m.world.network.send(m.name, leader.name, func() {
		leader.receive(func() { leader.receiveOperation(requested, from) })
	})
}

// acknowledgeEarly implements defect.AcknowledgeProposal: it applies the update to a copy
// of the state and sends the resulting answer before the proposal is committed.
func (m *machine) acknowledgeEarly(requested operation) {
	trial := &stateMachine{}
	data, err := m.state.snapshot(false)
	if err != nil {
		panic(err)
	}
	if err := trial.restore(data); err != nil {
		panic(err)
	}
	update := trial.operationUpdate(requested, trial.content())
	trial.table.Apply(&update, nil)
	result, _ := trial.answer(requested.ID)
	m.sendAnswer(requested.ID, result)
}

// entryApplied updates m.leadership after an entry was applied.
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

// serialInForce returns the serial that every gateway with a valid lease has activated,
// and whether it is known.
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

// quorumContact returns the latest time at which a quorum acknowledged the leadership.
func (m *machine) quorumContact() (time.Duration, bool) {
	if m.world.hasDefect(defect.GrantWithoutQuorumContact) {
		return m.clock(), true
	}
	return m.node.QuorumContact()
}

// answerOperations answers the operations whose answer has been applied and whose serial
// is in force at all gateways. It answers in the order of the operation ids, so that the
// history is deterministic.
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
		result, answered := m.state.answer(id)
		if answered && !registry.SerialLess(serial, m.state.answerSerial(id)) {
			m.sendAnswer(id, result)
		}
	}
}

// sendAnswer answers all operators that wait for an operation.
func (m *machine) sendAnswer(id string, result answer) {
	m.world.checks.answerAcknowledged(m, id, result)
	for _, from := range m.waiters[id] {
		m.world.network.send(m.name, from.operator.name, func() {
			from.operator.receiveAnswer(id, result)
		})
	}
	delete(m.waiters, id)
}

// notifyGateways makes the gateways renew their leases when the serial of the table or the
// serial that they may activate has changed.
func (m *machine) notifyGateways() {
	if m.leadership == nil || m.leadership.grantor == nil {
		return
	}
	current := notice{serial: m.state.serial(), activate: m.leadership.grantor.ActivationSerial()}
	if current == m.leadership.lastNotice {
		return
	}
	m.leadership.lastNotice = current
	for _, g := range m.world.gateways {
		m.world.network.send(m.name, g.name, func() {
			g.receive(func() { g.sendRenewal(m) })
		})
	}
}

// answerRenewal replies to a gateway's renewal. A primary replies with a lease decision and
// the changes since the gateway's serial, any other machine with the leader that it knows.
func (m *machine) answerRenewal(g *gateway, received renewal) {
	reply := renewalReply{from: m}
	if m.leadership != nil && m.leadership.grantor != nil {
		contact, known := m.quorumContact()
		decision := m.leadership.grantor.Renew(m.clock(), contact, known, received.request)
		reply.decision = decision
		reply.term = m.leadership.term
		if decision.QuorumConfirmed && registry.SerialLess(received.request.ReceivedSerial, m.state.serial()) {
			transfer := m.state.table.TransferSince(received.request.ReceivedSerial)
			reply.transfer = &transfer
		}
	} else {
		reply.hint = m.world.checks.machineOf(m.node.Status().Leader)
	}
	m.world.network.send(m.name, g.name, func() {
		g.receive(func() { g.receiveReply(received, reply) })
	})
}
