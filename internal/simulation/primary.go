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

// notWaited is how far the planted fault of a skipped wait moves the election
// into the past.
const notWaited = time.Minute

// primary is what a machine keeps while it leads.
type primary struct {
	term    uint64
	elected time.Duration // on the local clock
	// grantor is nil until every entry of earlier terms is applied.
	grantor *lease.Grantor
	// proposed holds the orders that are in the log but not applied, by id.
	proposed map[string]uint64
	// notified is what the gateways were last told of.
	notified notice
	// contentAtFirst is the value when the node began to grant.
	contentAtFirst uint64
}

type notice struct {
	serial, activate uint32
}

// waiting is one operator that waits for the answer to an order.
type waiting struct {
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
		m.leadership = &primary{term: term, elected: m.clock(), proposed: make(map[string]uint64)}
	}
}

// beginGranting is called once the first entry of the own term is applied: the
// table then holds everything that earlier primaries may have reported.
func (m *machine) beginGranting() {
	elected := m.leadership.elected
	if m.world.has(defect.LeaseNotWaitedOut) {
		elected -= notWaited
	}
	m.leadership.contentAtFirst = m.state.content()
	m.leadership.grantor = lease.NewGrantor(lease.DefaultConfig(), m.leadership.term, elected, m.state.serial())
	m.propose(m.state.claim(m.name))
}

func (m *machine) propose(update registry.Update) (index uint64, proposed bool) {
	data, err := registry.EncodeUpdate(&update)
	if err != nil {
		panic(err)
	}
	index, _, err = m.node.Propose(m.clock(), data)
	return index, err == nil
}

// lead does a leader's periodic work.
func (m *machine) lead() {
	if m.leadership == nil {
		return
	}
	m.repair()
	m.work()
}

// askOrder takes an operator's order in. Only a leader proposes; the others
// forward it once.
func (m *machine) askOrder(asked order, from waiting) {
	if m.leadership == nil {
		m.forwardOrder(asked, from)
		return
	}
	m.asked[asked.ID] = append(m.asked[asked.ID], from)
	if _, known := m.state.answer(asked.ID); known {
		return // answerOrders replies once it is in force
	}
	if _, open := m.leadership.proposed[asked.ID]; open || m.leadership.grantor == nil {
		return
	}
	index, proposed := m.propose(m.state.decide(asked, m.contentToChange()))
	if !proposed {
		return
	}
	m.leadership.proposed[asked.ID] = index
	if m.world.has(defect.AcknowledgeProposal) {
		m.acknowledgeEarly(asked)
	}
}

// contentToChange is the value that an order which changes it is made to.
func (m *machine) contentToChange() uint64 {
	if m.world.has(defect.ChangeOldContent) {
		return m.leadership.contentAtFirst
	}
	return m.state.content()
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

// acknowledgeEarly is a planted fault: it answers from a trial of the update.
func (m *machine) acknowledgeEarly(asked order) {
	trial := &book{}
	data, err := m.state.snapshot(false)
	if err != nil {
		panic(err)
	}
	if err := trial.restore(data); err != nil {
		panic(err)
	}
	update := trial.decide(asked, trial.content())
	trial.table.Apply(&update, nil)
	given, _ := trial.answer(asked.ID)
	m.reply(asked.ID, given)
}

// noteApplied tells the leadership of an applied entry.
func (m *machine) noteApplied(entry consensus.Entry) {
	if m.leadership == nil {
		return
	}
	if m.leadership.grantor == nil && entry.Term == m.leadership.term {
		m.beginGranting()
	}
	if m.leadership.grantor != nil {
		m.leadership.grantor.SetSerial(m.state.serial())
	}
	for id, index := range m.leadership.proposed {
		if index <= entry.Index {
			delete(m.leadership.proposed, id)
		}
	}
}

// inForce returns the serial that every gateway with a lease decides by.
func (m *machine) inForce() (uint32, bool) {
	if m.leadership == nil || m.leadership.grantor == nil {
		return 0, false
	}
	if contact, known := m.contact(); known {
		m.leadership.grantor.SetQuorumContact(contact)
	}
	serial, known := m.leadership.grantor.SerialInForce()
	if known {
		m.world.checks.reportedInForce(serial)
	}
	return serial, known
}

// contact is the proof of leadership.
func (m *machine) contact() (time.Duration, bool) {
	if m.world.has(defect.GrantWithoutQuorumContact) {
		return m.clock(), true
	}
	return m.node.QuorumContact()
}

// answerOrders answers what is applied here and in force everywhere.
func (m *machine) answerOrders() {
	if len(m.asked) == 0 {
		return
	}
	serial, known := m.inForce()
	if !known {
		return
	}
	ids := make([]string, 0, len(m.asked))
	for id := range m.asked {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		given, answered := m.state.answer(id)
		if answered && !registry.SerialLess(serial, m.state.answeredBy(id)) {
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

// notifyGateways tells them that there is something to renew for.
func (m *machine) notifyGateways() {
	if m.leadership == nil || m.leadership.grantor == nil {
		return
	}
	now := notice{serial: m.state.serial(), activate: m.leadership.grantor.ActivationSerial()}
	if now == m.leadership.notified {
		return
	}
	m.leadership.notified = now
	for _, g := range m.world.gateways {
		m.world.network.send(m.name, g.name, func() {
			g.receive(func() { g.renew(m) })
		})
	}
}

// grant answers a gateway's renewal.
func (m *machine) grant(g *gateway, asked renewal) {
	reply := grant{from: m}
	if m.leadership != nil && m.leadership.grantor != nil {
		contact, known := m.contact()
		decision := m.leadership.grantor.Renew(m.clock(), contact, known, asked.request)
		reply.decision = decision
		reply.term = m.leadership.term
		if decision.Authoritative && registry.SerialLess(asked.request.ReceivedSerial, m.state.serial()) {
			transfer := m.state.table.TransferSince(asked.request.ReceivedSerial)
			reply.transfer = &transfer
		}
	} else {
		reply.hint = m.world.checks.holder(m.node.Status().Leader)
	}
	m.world.network.send(m.name, g.name, func() {
		g.receive(func() { g.granted(asked, reply) })
	})
}
