package control

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/places"
	"github.com/deckpulley/deckpulley/registry"
)

// office is what this node keeps for one term of leading. It is discarded whole
// when the term ends.
type office struct {
	term    uint64
	elected time.Duration
	// ready is true once everything that was committed before the election is
	// applied here; before, nothing is proposed, granted or answered.
	ready bool
	// grantor is nil until ready.
	grantor  *lease.Grantor
	gateways map[string]*gatewayState
	joins    map[consensus.ID]joinRequest
	// noticed is when each member was first seen in the membership.
	noticed map[consensus.ID]time.Duration

	// leasesChanged is set when a gateway reported something new since the last
	// review of all leases; the rest is the result of that review.
	leasesChanged bool
	contact       time.Duration
	contactKnown  bool
	serial        uint32
	activate      uint32
	inForce       uint32
	inForceKnown  bool

	notifiedSerial   uint32
	notifiedActivate uint32
	nextMaintenance  time.Duration
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
	// renewed is the time of its last renewal, since that of the unbroken series.
	renewed       time.Duration
	since         time.Duration
	activeVersion uint64
	pending       bool // an update of its member record is on its way
}

// followOffice takes office up and lays it down as the replicated log says.
func (m *machine) followOffice(now time.Duration) {
	status := m.group.Status()
	if m.office != nil && (status.Role != consensus.Leader || status.Term != m.office.term) {
		m.log.Warn("no longer primary", "term", m.office.term, "newest_term", status.Term)
		m.office = nil
		m.loseWaiters(ErrLeadershipLost)
	}
	if m.office == nil && status.Role == consensus.Leader {
		m.log.Info("elected", "term", status.Term)
		m.metrics.elections.Inc()
		m.office = &office{
			term:     status.Term,
			elected:  now,
			gateways: make(map[string]*gatewayState),
			joins:    make(map[consensus.ID]joinRequest),
			noticed:  make(map[consensus.ID]time.Duration),
		}
	}
}

// openOffice begins to serve once an entry of the own term is applied, and with
// it everything that was committed before.
func (m *machine) openOffice(entry consensus.Entry) {
	if m.office == nil || m.office.ready || entry.Term != m.office.term || m.table == nil {
		return
	}
	m.office.ready = true
	m.office.grantor = lease.NewGrantor(m.options.Lease, m.office.term, m.office.elected, m.table.Serial())
	m.log.Info("primary", "term", m.office.term, "serial", m.table.Serial())
}

// serving returns the office if this node is a primary that may answer.
func (m *machine) serving() (*office, bool) {
	if m.office == nil || !m.office.ready {
		return nil, false
	}
	return m.office, true
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
	grant.Control = addressesOf(status.Membership)
	office, serving := m.serving()
	if !serving || m.foreign(renew, status.Term) {
		grant.Primary = m.addressOf(status.Membership, status.Leader)
		return grant
	}
	contact, known := m.group.QuorumContact()
	decision := office.grantor.Renew(now, contact, known, lease.Request{
		Holder:      renew.Gateway.Name,
		Incarnation: renew.Gateway.Incarnation,
		Held:        renew.Held,
		Active:      renew.Active,
		Leaving:     renew.Gateway.Leaving,
		Valid:       renew.Valid,
		Term:        renew.Term,
	})
	m.noteGateway(now, renew)
	grant.Activate = decision.Activate
	if !decision.Granted {
		m.metrics.renewals.WithLabelValues("refused").Inc()
		return grant
	}
	m.metrics.renewals.WithLabelValues("granted").Inc()
	grant.Granted = true
	grant.LeaseMS = decision.Length.Milliseconds()
	grant.Transfer = m.transferFrom(renew.Held)
	return grant
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
	ahead := renew.Held != 0 && registry.SerialLess(m.table.Serial(), renew.Held)
	if ahead {
		m.log.Error("gateway holds a newer serial than the primary", "gateway", renew.Gateway.Name, "held", renew.Held, "serial", m.table.Serial(), "term", term)
	}
	return ahead
}

// noteGateway remembers who renewed, for its member record and for Notify.
func (m *machine) noteGateway(now time.Duration, renew peer.Renew) {
	state, known := m.office.gateways[renew.Gateway.Name]
	if !known {
		state = &gatewayState{since: now}
		m.office.gateways[renew.Gateway.Name] = state
	}
	restarted := state.info.Incarnation != renew.Gateway.Incarnation
	lapsed := now-state.renewed > m.options.Lease.Length
	if restarted || lapsed {
		state.since = now
	}
	if restarted || lapsed || state.held != renew.Held || state.active != renew.Active {
		m.office.leasesChanged = true
	}
	state.info = renew.Gateway
	state.held = renew.Held
	state.active = renew.Active
	state.renewed = now
	state.activeVersion = renew.ActiveVersion
	m.recordGateway(now, renew.Gateway.Name, state)
}

// recordGateway brings the member record of a gateway in line with its lease,
// by an update that is conditional on the record that it replaces.
func (m *machine) recordGateway(now time.Duration, name string, state *gatewayState) {
	if state.pending {
		return
	}
	old, known := m.contents.Gateways()[name]
	wanted := places.Gateway{
		Incarnation: state.info.Incarnation,
		Zone:        state.info.Zone,
		Region:      state.info.Region,
		PeerAddress: state.info.PeerAddress,
		HTTPAddress: state.info.HTTPAddress,
		Up:          !state.info.Leaving,
	}
	returned := known && !old.Up && old.Incarnation == wanted.Incarnation
	if returned && wanted.Up && now-state.since < m.options.GatewayGrace {
		return
	}
	if known && old == wanted {
		return
	}
	state.pending = true
	m.writeGateway(now, name, old, known, wanted, func() { state.pending = false })
}

func (m *machine) writeGateway(now time.Duration, name string, old places.Gateway, known bool, wanted places.Gateway, done func()) {
	prerequisite := registry.Absent(places.GatewayName(name), places.TypeGateway)
	if known {
		prerequisite = registry.Equals(places.GatewayRecord(name, old))
	}
	m.log.Info("gateway member record", "gateway", name, "up", wanted.Up, "incarnation", wanted.Incarnation, "term", m.office.term)
	update := m.ownUpdate([]registry.Record{prerequisite}, []registry.Record{registry.Add(places.GatewayRecord(name, wanted))})
	m.propose(now, update, func(registry.Result, error) { done() })
}

// forgetLapsedLeases drops leases that have run out, so that restarted gateways
// leave nothing behind.
func (m *machine) forgetLapsedLeases(now time.Duration) {
	for _, holder := range m.office.grantor.Expired(now) {
		m.log.Warn("lease ran out", "gateway", holder.Holder, "incarnation", holder.Incarnation, "term", m.office.term)
	}
}

// markLapsedGateways marks gateways down whose leases have run out for longer
// than the grace, those that never renewed with this primary included.
func (m *machine) markLapsedGateways(now time.Duration) {
	patience := m.options.Lease.Length + m.options.Lease.Margin + m.options.GatewayGrace
	for name, record := range m.contents.Gateways() {
		state, known := m.office.gateways[name]
		if !known {
			state = &gatewayState{renewed: m.office.elected + m.options.Lease.Window()}
			m.office.gateways[name] = state
		}
		if !record.Up || state.pending || now-state.renewed <= patience {
			continue
		}
		down := record
		down.Up = false
		state.pending = true
		m.writeGateway(now, name, record, true, down, func() { state.pending = false })
	}
}

// reviewLeases works out what may become active and what is in force. Both
// follow from the serial, the proof of office and what gateways report; a renewal
// that reports nothing new changes neither.
func (m *machine) reviewLeases(now time.Duration) {
	office, serving := m.serving()
	if !serving {
		return
	}
	contact, known := m.group.QuorumContact()
	serial := m.table.Serial()
	if !office.leasesChanged && contact == office.contact && known == office.contactKnown && serial == office.serial {
		return
	}
	office.leasesChanged = false
	office.contact, office.contactKnown = contact, known
	office.serial = serial
	if known {
		office.grantor.SetContact(contact)
	}
	office.activate = office.grantor.Activate(now)
	office.inForce, office.inForceKnown = office.grantor.InForce(now)
	m.notifyGateways(office)
}

// notifyGateways tells the gateways that there is something to renew for: a new
// serial, a new activation or a new primary.
func (m *machine) notifyGateways(office *office) {
	if office.serial == office.notifiedSerial && office.activate == office.notifiedActivate {
		return
	}
	office.notifiedSerial = office.serial
	office.notifiedActivate = office.activate
	notify := peer.Notify{
		Cluster:  m.cluster,
		Term:     office.term,
		Primary:  m.options.PeerAddress,
		Serial:   office.serial,
		Activate: office.activate,
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
	for _, state := range m.office.gateways {
		include(state.info.PeerAddress)
	}
	for _, record := range m.contents.Gateways() {
		if record.Up {
			include(record.PeerAddress)
		}
	}
	return addresses
}

// transferCache keeps the differences between one serial and those that
// gateways hold, since many hold the same.
type transferCache struct {
	serial uint32
	byHeld map[uint32]*registry.Transfer
}

func (c *transferCache) reset() {
	c.byHeld = nil
}

// transferFrom returns what brings a copy at the serial up to date, nil if it is.
func (m *machine) transferFrom(held uint32) *registry.Transfer {
	serial := m.table.Serial()
	if held == serial {
		return nil
	}
	if m.transfers.byHeld == nil || m.transfers.serial != serial {
		m.transfers = transferCache{serial: serial, byHeld: make(map[uint32]*registry.Transfer)}
	}
	if transfer, known := m.transfers.byHeld[held]; known {
		return transfer
	}
	transfer := forGateways(m.table.Difference(held))
	m.transfers.byHeld[held] = &transfer
	return &transfer
}

// forGateways leaves out what no gateway decides by: the text of the document
// and the answers to orders. Both are most of a change's octets, and control
// nodes alone give them to readers.
func forGateways(transfer registry.Transfer) registry.Transfer {
	transfer.Removed = gatewayRecords(transfer.Removed)
	transfer.Added = gatewayRecords(transfer.Added)
	return transfer
}

func gatewayRecords(records []registry.Record) []registry.Record {
	var kept []registry.Record
	for _, record := range records {
		if record.Type != places.TypeDocument && record.Type != places.TypeOrder {
			kept = append(kept, record)
		}
	}
	return kept
}

// ownUpdate is an update that this node makes for the fleet's own records.
func (m *machine) ownUpdate(prerequisites, changes []registry.Record) registry.Update {
	update := registry.NewUpdate(places.Apex, prerequisites, changes)
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
