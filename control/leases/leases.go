// Package leases decides, for one term of a primary, which gateways get leases,
// what their member records should say, and which serial they may activate. It
// does no I/O: the event loop passes the time and the current records in, and
// proposes the changes that come out.
package leases

import (
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
)

// Config sets up a Manager. All are required.
type Config struct {
	// Lease is the configuration that gateways use too.
	Lease lease.Config
	// GatewayGrace is how long after the end of its lease a gateway is marked down,
	// and how long a lease must last before it is marked up again.
	GatewayGrace time.Duration
}

// Manager decides about leases for one term. Its methods run on the event loop;
// now is the monotonic time of the event loop.
type Manager struct {
	config    Config
	term      uint64
	elected   time.Duration
	servingAt time.Duration // when this node began to serve as the primary
	grantor   *lease.Grantor
	gateways  map[string]*gateway
	// superseded are incarnations that a newer one of their gateway replaced: what
	// still arrives from them is late.
	superseded map[lease.HolderID]bool
	// expectsHolders is true once the grantor knows whose leases it has to wait for.
	expectsHolders bool
	// confirming is true once a quorum contact was requested that ends the wait
	// for earlier leases.
	confirming bool
	// reportsChanged is true if a gateway reported something new since the last review.
	reportsChanged bool
	review         Review

	notifiedSerial   uint32
	notifiedActivate uint32
	records          recordQueue
}

// gateway is what the primary observes of one gateway beside its lease.
type gateway struct {
	info peer.GatewayInfo
	// received and active are the serials of its last renewal.
	received uint32
	active   uint32
	// renewed is the time of its last renewal, or the latest that one with an earlier
	// primary may have had; since is the begin of the unbroken series.
	renewed time.Duration
	since   time.Duration
	// contacted is when it last renewed with this primary, at first the election.
	contacted     time.Duration
	activeVersion uint64
	// recordPending is true while a change of its member record is in progress;
	// revoking says that this change ends its permission to have a lease.
	recordPending bool
	revoking      bool
}

// NewManager returns the manager of a primary that was elected for a term and
// serves from now on, with a table of a serial.
func NewManager(config Config, term uint64, elected, now time.Duration, serial uint32) *Manager {
	return &Manager{
		config:     config,
		term:       term,
		elected:    elected,
		servingAt:  now,
		grantor:    lease.NewGrantor(config.Lease, term, elected, serial),
		gateways:   make(map[string]*gateway),
		superseded: make(map[lease.HolderID]bool),
	}
}

// SetSerial passes on the serial of the table.
func (m *Manager) SetSerial(serial uint32) { m.grantor.SetSerial(serial) }

// Renew decides one renewal. The contact is the quorum contact: the send time
// of the newest heartbeat round that a quorum acknowledged, if known.
func (m *Manager) Renew(now, contact time.Duration, contactKnown bool, renew *peer.Renew) lease.Decision {
	return m.grantor.Renew(now, contact, contactKnown, lease.Request{
		Holder:         renew.Gateway.Name,
		Incarnation:    renew.Gateway.Incarnation,
		ReceivedSerial: renew.ReceivedSerial,
		ActiveSerial:   renew.ActiveSerial,
		Release:        renew.Gateway.Draining,
		LeaseValid:     renew.LeaseValid,
		Term:           renew.Term,
	})
}

// MayLease says whether the registry records that a gateway may have a lease. A
// lease is granted only then, so that the records that a new primary finds name
// everyone who may have one.
func (m *Manager) MayLease(current *catalog.State, info peer.GatewayInfo) bool {
	record, known := current.Gateways()[info.Name]
	observed := m.gateways[info.Name]
	revoking := observed != nil && observed.revoking
	return known && record.MayHoldLease && record.Incarnation == info.Incarnation && !revoking
}

// ExpectHolders passes on, once, who may have a lease of an earlier primary.
func (m *Manager) ExpectHolders(now time.Duration, current *catalog.State) {
	if m.expectsHolders || current == nil {
		return
	}
	m.expectsHolders = true
	var holders []lease.HolderID
	for name, record := range current.Gateways() {
		if record.MayHoldLease || record.Up { // older records only have the latter
			holders = append(holders, lease.HolderID{Holder: name, Incarnation: record.Incarnation})
		}
	}
	m.grantor.ExpectReclaims(now, holders)
}

// NeedsConfirmation is true once, when a quorum contact would end the wait for
// earlier leases.
func (m *Manager) NeedsConfirmation() bool {
	if m.confirming || !m.grantor.AwaitsQuorumContact() {
		return false
	}
	m.confirming = true
	return true
}

// Expired drops the leases that have expired and returns their holders, so that
// restarted gateways leave nothing behind.
func (m *Manager) Expired(now time.Duration) []lease.HolderID { return m.grantor.Expired(now) }

// Holders returns the leases at a time.
func (m *Manager) Holders(now time.Duration) []lease.HolderStatus { return m.grantor.Holders(now) }

// ActiveVersions returns the configuration version that each gateway reported active.
func (m *Manager) ActiveVersions() map[string]uint64 {
	versions := make(map[string]uint64, len(m.gateways))
	for name, observed := range m.gateways {
		versions[name] = observed.activeVersion
	}
	return versions
}

// ActivatableSerial is the newest serial that gateways may activate now; 0 if none.
func (m *Manager) ActivatableSerial() uint32 { return m.grantor.ActivationSerial() }

// InForceSerial is the newest serial known to be active at every lease holder.
func (m *Manager) InForceSerial() uint32 {
	serial, _ := m.grantor.SerialInForce()
	return serial
}

// Addresses returns the peer addresses of the gateways that renewed, and of those
// whose records say that they are up.
func (m *Manager) Addresses(current *catalog.State) []string {
	seen := make(map[string]bool)
	var addresses []string
	include := func(address string) {
		if address != "" && !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, observed := range m.gateways {
		include(observed.info.PeerAddress)
	}
	for _, record := range current.Gateways() {
		if record.Up {
			include(record.PeerAddress)
		}
	}
	return addresses
}
