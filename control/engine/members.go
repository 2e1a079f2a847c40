package engine

import (
	"context"
	"errors"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/eventqueue"
	"github.com/deckpulley/deckpulley/control/membership"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
)

// maintenanceInterval is the time between two runs of a primary's maintenance of the
// membership, the leases, and the SOA and NS records.
const maintenanceInterval = 100 * time.Millisecond

// Limits of the reminders that a primary sends to silent gateways: the time between two
// rounds, and the number of gateways of one round.
const (
	reminderInterval  = time.Second
	remindersPerRound = 8
)

// Join asks this node's group to admit a node as a voter. Only the primary accepts the
// request; the reply names the primary.
func (e *Engine) Join(ctx context.Context, member consensus.Member) (peer.JoinReply, error) {
	return eventqueue.Ask(ctx, e.queue, func(now time.Duration) peer.JoinReply {
		return e.machine.join(now, member)
	})
}

// join records a node's request to join if this node serves as the primary. The request
// is accepted if the node is already a member or may be admitted.
func (m *machine) join(now time.Duration, member consensus.Member) peer.JoinReply {
	reply := peer.JoinReply{Cluster: m.driver.Cluster()}
	if m.driver.Consensus() == nil {
		return reply
	}
	status := m.driver.Consensus().Status()
	reply.Members = status.Membership.Members
	reply.Primary = m.driver.AddressOf(status.Membership, status.Leader)
	leadership, serving := m.serving()
	if !serving {
		return reply
	}
	member.Learner = false
	request := membership.JoinRequest{Member: member, ReceivedAt: now}
	leadership.members.RecordJoin(request)
	_, known := membership.Find(status.Membership, member.ID)
	repair := m.repair(now, status)
	reply.Accepted = known || repair.CanAdmit(request) || repair.MayAdmitSoon(request)
	return reply
}

// maintain runs the primary's periodic maintenance. While there are requests to join, it
// repairs the group on every call: until the repair is done, one more failure can cost
// the majority.
func (m *machine) maintain(now time.Duration) {
	leadership, serving := m.serving()
	if !serving {
		return
	}
	if now < leadership.nextMaintenance {
		if leadership.members.HasJoins() {
			m.repairGroup(now)
		}
		return
	}
	leadership.nextMaintenance = now + maintenanceInterval
	m.updateSOA(now, leadership)
	m.updateNSRecords(now, leadership)
	m.expireLeases(now, leadership)
	m.remindSilentGateways(now, leadership)
	m.repairGroup(now)
}

// expireLeases drops expired leases and queues the changes of the records of gateways
// that have stopped renewing.
func (m *machine) expireLeases(now time.Duration, leadership *leadership) {
	for _, holder := range leadership.leases.Expired(now) {
		m.log.Warn("lease expired", "gateway", holder.Holder, "incarnation", holder.Incarnation, "term", leadership.term)
	}
	for _, change := range leadership.leases.LapsedChanges(now, m.driver.Catalog()) {
		m.changeGatewayRecord(now, change)
	}
}

// updateSOA makes the SOA record name this node as the primary.
func (m *machine) updateSOA(now time.Duration, leadership *leadership) {
	soa := m.table().SOA()
	if leadership.soaPending || soa.Primary == m.config.Name {
		return
	}
	soa.Primary = m.config.Name
	soa.Serial = registry.NextSerial(soa.Serial)
	leadership.soaPending = true
	update := m.ownUpdate(nil, []registry.Record{registry.Add(registry.SOARecord(catalog.Apex, soa))})
	m.propose(now, update, func(registry.Result, error) { leadership.soaPending = false })
}

// updateNSRecords makes the NS records list exactly the voters of the group.
func (m *machine) updateNSRecords(now time.Duration, leadership *leadership) {
	if leadership.nsPending {
		return
	}
	changes := m.nsRecordChanges()
	if len(changes) == 0 {
		return
	}
	leadership.nsPending = true
	m.propose(now, m.ownUpdate(nil, changes), func(registry.Result, error) { leadership.nsPending = false })
}

// nsRecordChanges returns the changes that make the NS records list exactly the voters. It
// puts additions before deletions, since the registry never deletes the last NS record.
func (m *machine) nsRecordChanges() []registry.Record {
	missing := make(map[string]bool)
	for _, member := range m.driver.Consensus().CurrentMembership().Members {
		if !member.Learner {
			missing[member.Name] = true
		}
	}
	var deleted []registry.Record
	for _, record := range m.table().View().Lookup(catalog.Apex, registry.TypeNS) {
		name := string(record.Data)
		if !missing[name] {
			deleted = append(deleted, registry.DeleteRecord(record))
		}
		delete(missing, name)
	}
	var changes []registry.Record
	for name := range missing {
		changes = append(changes, registry.Add(registry.NSRecord(catalog.Apex, name)))
	}
	return append(changes, deleted...)
}

// repairGroup proposes the next membership change toward a complete group, if one is
// needed and no other is in progress.
func (m *machine) repairGroup(now time.Duration) {
	leadership := m.leadership
	leadership.members.ExpireJoins(now)
	status := m.driver.Consensus().Status()
	leadership.members.Observe(now, status.Membership)
	self := m.self()
	if known, found := membership.Find(status.Membership, m.driver.Identity()); found && known != self {
		leadership.members.RecordUpdatedMember(membership.JoinRequest{Member: self, ReceivedAt: now})
	}
	repair := m.repair(now, status)
	next, needed := repair.Next()
	if !needed {
		return
	}
	index, _, err := m.driver.Consensus().ProposeMembership(now, next.Membership)
	switch {
	case errors.Is(err, consensus.ErrMembershipPending):
	case err != nil:
		m.log.Warn("membership change rejected", "change", next.Reason, "term", status.Term, "error", err)
	default:
		m.log.Info("membership change proposed", "change", next.Reason, "index", index, "term", status.Term)
	}
}

// self describes this node as a member of the group.
func (m *machine) self() consensus.Member {
	return consensus.Member{ID: m.driver.Identity(), Name: m.config.Name, Address: m.config.PeerAddress, Zone: m.config.Zone}
}

func (m *machine) repair(now time.Duration, status consensus.Status) membership.Repair {
	return membership.Repair{
		Now:          now,
		ElectedAt:    m.leadership.electedAt,
		Status:       status,
		Joins:        m.leadership.members.Joins(),
		FirstSeen:    m.leadership.members.FirstSeen(),
		Voters:       m.driver.State().Voters,
		ReplaceAfter: m.config.ReplaceAfter,
		Witnesses:    m.possibleWitnesses(now),
	}
}

// possibleWitnesses returns the gateways that have a lease, if the group may have witnesses.
func (m *machine) possibleWitnesses(now time.Duration) []consensus.Witness {
	if m.driver.State().Voters != membership.WitnessedGroup {
		return nil
	}
	holders := m.leadership.leases.Holders(now)
	witnesses := make([]consensus.Witness, 0, len(holders))
	for _, holder := range holders {
		witnesses = append(witnesses, consensus.Witness{Name: holder.Holder, Incarnation: holder.Incarnation})
	}
	return witnesses
}
