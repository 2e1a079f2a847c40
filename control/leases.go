package control

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
)

// leadership is what this node keeps for one term of leading. It is discarded whole
// when the term ends.
type leadership struct {
	term    uint64
	elected time.Duration
	// ready is true once everything that was committed before the election is
	// applied here; before, nothing is proposed, granted or answered.
	ready bool
	// readyAt is when it became so.
	readyAt time.Duration
	// grantor is nil until ready.
	grantor  *lease.Grantor
	gateways map[string]*gatewayState
	joins    map[consensus.ID]joinRequest
	// noticed is when each member was first seen in the membership.
	noticed map[consensus.ID]time.Duration

	// leasesChanged is set when a gateway reported something new since the last
	// review of all leases; the rest is the result of that review.
	leasesChanged bool
	// superseded are incarnations that a newer one of their gateway replaced: what
	// still comes of them is late.
	superseded map[lease.HolderID]bool
	// confirming is true once a proof of leadership was asked for that ends the wait
	// for earlier leases.
	confirming bool
	// expected is true once the grantor knows whose leases it has to wait for.
	expected     bool
	contact      time.Duration
	contactKnown bool
	serial       uint32
	activate     uint32
	inForce      uint32
	inForceKnown bool

	notifiedSerial   uint32
	notifiedActivate uint32
	nextMaintenance  time.Duration
	// writes are changes of gateways' member records that wait for the update on its
	// way, if writing says that there is one.
	writes  []gatewayWrite
	writing bool
	// headPending and membersPending mark proposals on their way.
	headPending    bool
	membersPending bool
}

// gatewayState is what the primary knows of one gateway beside its lease.
type gatewayState struct {
	info peer.GatewayInfo
	// held and active are the serials of its last renewal.
	held   uint32
	active uint32
	// renewed is the time of its last renewal, or the latest that one with an earlier
	// primary may have had; since is the begin of the unbroken series.
	renewed time.Duration
	// heard is when it last renewed here, at first the election.
	heard         time.Duration
	since         time.Duration
	activeVersion uint64
	pending       bool // an update of its member record is on its way
	ending        bool // that update says that it may hold no lease any more
}

// followLeadership begins and ends the leadership as the replicated log says.
func (m *machine) followLeadership(now time.Duration) {
	status := m.group.Status()
	if m.leadership != nil && (status.Role != consensus.Leader || status.Term != m.leadership.term) {
		m.log.Warn("no longer primary", "term", m.leadership.term, "newest_term", status.Term)
		m.leadership = nil
		m.loseWaiters(ErrLeadershipLost)
	}
	if m.leadership == nil && status.Role == consensus.Leader {
		m.log.Info("elected", "term", status.Term)
		m.metrics.elections.Inc()
		m.leadership = &leadership{
			term:     status.Term,
			elected:  now,
			gateways: make(map[string]*gatewayState),
			joins:    make(map[consensus.ID]joinRequest),
			noticed:  make(map[consensus.ID]time.Duration),

			superseded: make(map[lease.HolderID]bool),
		}
	}
}

// startServing begins to serve once an entry of the own term is applied, and with
// it everything that was committed before.
func (m *machine) startServing(now time.Duration, entry consensus.Entry) {
	if m.leadership == nil || m.leadership.ready || entry.Term != m.leadership.term || m.table == nil {
		return
	}
	m.leadership.ready = true
	m.leadership.readyAt = now
	m.leadership.grantor = lease.NewGrantor(m.options.Lease, m.leadership.term, m.leadership.elected, m.table.Serial())
	m.log.Info("primary", "term", m.leadership.term, "serial", m.table.Serial())
}

// serving returns the leadership if this node is a primary that may answer.
func (m *machine) serving() (*leadership, bool) {
	if m.leadership == nil || !m.leadership.ready {
		return nil, false
	}
	return m.leadership, true
}

// serveRenew answers a gateway's renewal.
func (n *Node) serveRenew(ctx context.Context, _ string, decode func(any) error) (any, error) {
	var renew peer.Renew
	if err := decode(&renew); err != nil {
		return nil, err
	}
	grant, err := ask(ctx, n, func(now time.Duration) peer.Grant {
		return n.machine.renew(now, renew)
	})
	if err != nil {
		return nil, err
	}
	return &grant, nil
}

// renew decides one renewal.
func (m *machine) renew(now time.Duration, renew peer.Renew) peer.Grant {
	grant := peer.Grant{Cluster: m.cluster}
	if m.group == nil {
		return grant
	}
	status := m.group.Status()
	grant.Term = status.Term
	grant.ControlAddresses = addressesOf(status.Membership)
	leadership, serving := m.serving()
	if !serving {
		grant.Primary = m.addressOf(status.Membership, status.Leader)
		m.addFirstTable(now, &grant, renew)
		return grant
	}
	if m.foreign(renew, status.Term) {
		grant.Primary = m.addressOf(status.Membership, status.Leader)
		return grant
	}
	contact, known := m.group.QuorumContact()
	decision := leadership.grantor.Renew(now, contact, known, lease.Request{
		Holder:         renew.Gateway.Name,
		Incarnation:    renew.Gateway.Incarnation,
		ReceivedSerial: renew.ReceivedSerial,
		ActiveSerial:   renew.ActiveSerial,
		Release:        renew.Gateway.Draining,
		LeaseValid:     renew.LeaseValid,
		Term:           renew.Term,
	})
	m.noteGateway(now, renew)
	grant.ActivationSerial = decision.ActivationSerial
	if !decision.Authoritative {
		m.metrics.renewals.WithLabelValues("refused").Inc()
		return grant
	}
	m.metrics.renewals.WithLabelValues("granted").Inc()
	grant.Granted = true
	if m.mayLease(renew.Gateway) {
		grant.LeaseMS = decision.LeaseDuration.Milliseconds()
	}
	m.addTransfer(now, &grant, renew.ReceivedSerial)
	return grant
}

// addFirstTable gives a gateway that holds nothing the table of a node that is not
// the primary: the gateway may hold it, and makes nothing of it active before the
// primary says so. After a loss of power the primary alone could not send a whole
// table to all gateways at once.
func (m *machine) addFirstTable(now time.Duration, grant *peer.Grant, renew peer.Renew) {
	known := renew.Cluster == "" || renew.Cluster == m.cluster
	if renew.ReceivedSerial == 0 && known && grant.Primary != "" && m.table != nil {
		m.addTransfer(now, grant, renew.ReceivedSerial)
	}
}

// mayLease says whether the registry records that the gateway may hold a lease.
// A lease is granted only then, so that the records that a new primary finds
// name everyone who may have one.
func (m *machine) mayLease(info peer.GatewayInfo) bool {
	record, known := m.contents.Gateways()[info.Name]
	state := m.leadership.gateways[info.Name]
	ending := state != nil && state.ending
	return known && record.MayHoldLease && record.Incarnation == info.Incarnation && !ending
}

// expectHolders tells the grantor who may hold a lease of an earlier primary.
func (m *machine) expectHolders(now time.Duration, leadership *leadership) {
	if leadership.expected || m.contents == nil {
		return
	}
	leadership.expected = true
	var holders []lease.HolderID
	for name, record := range m.contents.Gateways() {
		if record.MayHoldLease || record.Up { // older records only have the latter
			holders = append(holders, lease.HolderID{Holder: name, Incarnation: record.Incarnation})
		}
	}
	leadership.grantor.ExpectReclaims(now, holders)
}

// foreign is true for a renewal that this primary must not answer with a grant:
// from another group, or from a gateway that knows a newer term or serial.
func (m *machine) foreign(renew peer.Renew, term uint64) bool {
	if renew.Cluster != "" && renew.Cluster != m.cluster {
		return true
	}
	if renew.Term > term {
		return true
	}
	ahead := renew.ReceivedSerial != 0 && registry.SerialLess(m.table.Serial(), renew.ReceivedSerial)
	if ahead {
		m.log.Error("gateway holds a newer serial than the primary", "gateway", renew.Gateway.Name, "held", renew.ReceivedSerial, "serial", m.table.Serial(), "term", term)
	}
	return ahead
}

// noteGateway remembers who renewed, for its member record and for Notify.
func (m *machine) noteGateway(now time.Duration, renew peer.Renew) {
	if m.isLate(renew) {
		return
	}
	state, known := m.leadership.gateways[renew.Gateway.Name]
	if !known {
		state = &gatewayState{since: now}
		m.leadership.gateways[renew.Gateway.Name] = state
	}
	restarted := state.info.Incarnation != renew.Gateway.Incarnation
	lapsed := now-state.renewed > m.options.Lease.Duration
	if restarted || lapsed {
		state.since = now
	}
	if restarted || lapsed || state.held != renew.ReceivedSerial || state.active != renew.ActiveSerial {
		m.leadership.leasesChanged = true
	}
	state.info = renew.Gateway
	state.held = renew.ReceivedSerial
	state.active = renew.ActiveSerial
	state.renewed = now
	state.heard = now
	state.activeVersion = renew.ActiveVersion
	m.recordGateway(now, renew.Gateway.Name, state)
}

// isLate tells a renewal that may come from a process that has ended: of an
// incarnation that was replaced, or of another one than the registry names that
// does not know this term. A gateway that has just started knows the term from
// its second renewal on.
func (m *machine) isLate(renew peer.Renew) bool {
	record, known := m.contents.Gateways()[renew.Gateway.Name]
	if !known || record.Incarnation == renew.Gateway.Incarnation {
		return false
	}
	leadership := m.leadership
	id := lease.HolderID{Holder: renew.Gateway.Name, Incarnation: renew.Gateway.Incarnation}
	if renew.Term != leadership.term || leadership.superseded[id] {
		return true
	}
	replaced := lease.HolderID{Holder: renew.Gateway.Name, Incarnation: record.Incarnation}
	leadership.superseded[replaced] = true
	return false
}

// recordGateway brings the member record of a gateway in line with its lease,
// by an update that is conditional on the record that it replaces.
func (m *machine) recordGateway(now time.Duration, name string, state *gatewayState) {
	if state.pending {
		return
	}
	old, known := m.contents.Gateways()[name]
	wanted := catalog.Gateway{
		Incarnation:  state.info.Incarnation,
		Zone:         state.info.Zone,
		Region:       state.info.Region,
		PeerAddress:  state.info.PeerAddress,
		HTTPAddress:  state.info.HTTPAddress,
		Up:           !state.info.Draining,
		MayHoldLease: !state.info.Draining,
		LinkMbps:     state.info.LinkMbps,
	}
	returned := known && !old.Up && old.Incarnation == wanted.Incarnation
	if returned && now-state.since < m.options.GatewayGrace {
		wanted.Up = false
	}
	if known && old == wanted {
		return
	}
	state.pending = true
	m.writeGateway(now, name, old, known, wanted, func() { state.pending = false })
}

// forgetLapsedLeases drops leases that have run out, so that restarted gateways
// leave nothing behind.
func (m *machine) forgetLapsedLeases(now time.Duration) {
	for _, holder := range m.leadership.grantor.Expired(now) {
		m.log.Warn("lease ran out", "gateway", holder.Holder, "incarnation", holder.Incarnation, "term", m.leadership.term)
	}
}

// markLapsedGateways marks gateways down that have been quiet for several
// renewals, so that nobody is sent to them, and notes whose lease has run out,
// with a grace. Those that never renewed with this primary are included.
func (m *machine) markLapsedGateways(now time.Duration) {
	patience := m.options.Lease.Duration + m.options.Lease.ClockDriftMargin + m.options.GatewayGrace
	for name, record := range m.contents.Gateways() {
		state, known := m.leadership.gateways[name]
		if !known {
			state = &gatewayState{renewed: m.lastUnheardRenewal(), heard: m.leadership.elected}
			m.leadership.gateways[name] = state
		}
		ended := record.MayHoldLease && now-state.renewed > patience
		quiet := record.Up && now-state.heard > quietRenewals*m.options.Lease.RenewalInterval
		if state.pending || !ended && !quiet {
			continue
		}
		down := record
		down.Up = false
		down.MayHoldLease = record.MayHoldLease && !ended
		state.pending = true
		state.ending = ended
		m.writeGateway(now, name, record, true, down, func() { state.pending, state.ending = false, false })
	}
}

// quietRenewals is the number of renewals that a gateway must miss before clients
// and other gateways are no longer sent to it.
const quietRenewals = 4

// lastUnheardRenewal is the latest time at which a gateway that never renewed with
// this primary may have renewed with the one before: its lease ends at the end of
// the window that a new primary waits for older leases.
func (m *machine) lastUnheardRenewal() time.Duration {
	terms := m.options.Lease
	return m.leadership.elected + terms.GracePeriod() - terms.Duration - terms.ClockDriftMargin
}

// reviewLeases works out what may become active and what is in force. Both
// follow from the serial, the proof of leadership and what gateways report; a renewal
// that reports nothing new changes neither.
func (m *machine) reviewLeases(now time.Duration) {
	leadership, serving := m.serving()
	if !serving {
		return
	}
	m.expectHolders(now, leadership)
	if leadership.grantor.AwaitsQuorumContact() && !leadership.confirming {
		leadership.confirming = true
		m.group.ConfirmLeadership(now)
	}
	contact, known := m.group.QuorumContact()
	serial := m.table.Serial()
	if !leadership.leasesChanged && contact == leadership.contact && known == leadership.contactKnown && serial == leadership.serial {
		return
	}
	leadership.leasesChanged = false
	leadership.contact, leadership.contactKnown = contact, known
	leadership.serial = serial
	if known {
		leadership.grantor.SetQuorumContact(contact)
	}
	leadership.activate = leadership.grantor.ActivationSerial()
	leadership.inForce, leadership.inForceKnown = leadership.grantor.SerialInForce()
	m.notifyGateways(leadership)
}

// notifyGateways tells the gateways that there is something to renew for: a new
// serial, a new activation or a new primary.
func (m *machine) notifyGateways(leadership *leadership) {
	if leadership.serial == leadership.notifiedSerial && leadership.activate == leadership.notifiedActivate {
		return
	}
	leadership.notifiedSerial = leadership.serial
	leadership.notifiedActivate = leadership.activate
	notify := peer.Notify{
		Cluster:          m.cluster,
		Term:             leadership.term,
		Primary:          m.options.PeerAddress,
		Serial:           leadership.serial,
		ActivationSerial: leadership.activate,
	}
	for _, address := range m.gatewayAddresses() {
		m.network.Send(address, peer.KindNotify, &notify)
	}
}

// gatewayAddresses lists the gateways that renewed, and those whose records say
// that they are up.
func (m *machine) gatewayAddresses() []string {
	seen := make(map[string]bool)
	var addresses []string
	include := func(address string) {
		if address != "" && !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, state := range m.leadership.gateways {
		include(state.info.PeerAddress)
	}
	for _, record := range m.contents.Gateways() {
		if record.Up {
			include(record.PeerAddress)
		}
	}
	return addresses
}

// ownUpdate is an update that this node makes for the fleet's own records.
func (m *machine) ownUpdate(prerequisites, changes []registry.Record) registry.Update {
	update := registry.NewUpdate(catalog.Apex, prerequisites, changes)
	update.Requestor = requestorControl + m.options.Name
	return update
}

func addressesOf(membership consensus.Membership) []string {
	addresses := make([]string, 0, len(membership.Members))
	for _, member := range membership.Members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}
