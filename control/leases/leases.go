// Package leases decides, for one term of a primary, which gateways are granted leases,
// which gateway records the registry should contain, and which serial gateways may
// activate. It does no I/O: the event loop passes in the time and the current records, and
// proposes the resulting record changes.
package leases

import (
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
)

// Config configures a Manager. All fields are required.
type Config struct {
	// Lease is the lease timing, which must equal that of the gateways.
	Lease lease.Config
	// GatewayGrace delays two changes of a gateway's record. It is the time between
	// the expiry of the gateway's lease and the record that it holds none
	// (MayHoldLease), and the time for which a gateway that was marked down must renew
	// without a gap before it is marked up again. It does not delay marking a gateway
	// down, which follows MissedRenewals.
	GatewayGrace time.Duration
}

// Manager decides about leases and gateway records for one term of a primary. Its methods
// must be called only on the event loop; now is the monotonic time of the event loop.
type Manager struct {
	config    Config
	term      uint64
	electedAt time.Duration
	servingAt time.Duration // when this node began to serve as the primary
	grantor   *lease.Grantor
	gateways  map[string]*gateway
	// superseded has the incarnations that a newer one of the same gateway has
	// replaced: renewals that still arrive from them are stale.
	superseded map[lease.HolderID]bool
	// expectsHolders is true once the grantor has the list of gateways that may hold
	// leases of earlier primaries.
	expectsHolders bool
	// confirming is true once the quorum contact that ends the wait for earlier
	// leases has been requested.
	confirming bool
	// reportsChanged is true if a gateway reported something new since the last review.
	reportsChanged bool
	review         Review

	// silentPosition is that of the next gateway that SilentAddresses returns.
	silentPosition uint64

	notifiedSerial   uint32
	notifiedActivate uint32
	records          recordQueue
}

// gateway is the primary's state of one gateway, apart from its lease.
type gateway struct {
	info peer.GatewayInfo
	// receivedSerial and activeSerial are the serials that its last renewal reported.
	receivedSerial uint32
	activeSerial   uint32
	// lastRenewal is the time of its last renewal with this primary, or if there is none,
	// the latest possible time of a renewal with an earlier primary. renewingSince is
	// the time of its first renewal after its last restart or lapse.
	lastRenewal   time.Duration
	renewingSince time.Duration
	// lastContact is the time of its last renewal with this primary, or if there is
	// none, the time of the election.
	lastContact   time.Duration
	activeVersion uint64
	// recordPending is true while a change of its record is in progress, and revoking
	// if that change clears MayHoldLease.
	recordPending bool
	revoking      bool
}

// NewManager returns the manager of a primary that was elected in a term and begins to
// serve now. serial is that of its table.
func NewManager(config Config, term uint64, electedAt, now time.Duration, serial uint32) *Manager {
	return &Manager{
		config:     config,
		term:       term,
		electedAt:  electedAt,
		servingAt:  now,
		grantor:    lease.NewGrantor(config.Lease, term, electedAt, serial),
		gateways:   make(map[string]*gateway),
		superseded: make(map[lease.HolderID]bool),
	}
}

// SetSerial sets the serial of the table.
func (m *Manager) SetSerial(serial uint32) { m.grantor.SetSerial(serial) }

// Renew decides whether to grant one renewal. contact is the quorum contact: the send time
// of the newest heartbeat round that a quorum acknowledged, if contactKnown.
func (m *Manager) Renew(now, contact time.Duration, contactKnown bool, renew *peer.Renew) lease.Decision {
	return m.grantor.Renew(now, contact, contactKnown, lease.RenewalRequest{
		Holder:         renew.Gateway.Name,
		Incarnation:    renew.Gateway.Incarnation,
		ReceivedSerial: renew.ReceivedSerial,
		ActiveSerial:   renew.ActiveSerial,
		Release:        renew.Gateway.Draining,
		Follows:        renew.Follows,
		LeaseValid:     renew.LeaseValid,
		Term:           renew.Term,
	})
}

// MayGrantLease reports whether the registry records that this incarnation of a gateway
// may hold a lease. A lease may be granted only then, so that a new primary finds every
// possible lease holder in the records.
func (m *Manager) MayGrantLease(current *catalog.State, info peer.GatewayInfo) bool {
	record, known := current.Gateways()[info.Name]
	observed := m.gateways[info.Name]
	revoking := observed != nil && observed.revoking
	return known && record.MayHoldLease && record.Incarnation == info.Incarnation && !revoking
}

// ExpectHolders passes the grantor the gateways that may hold a lease of an earlier primary.
// Only the first call with a state has an effect.
func (m *Manager) ExpectHolders(now time.Duration, current *catalog.State) {
	if m.expectsHolders || current == nil {
		return
	}
	m.expectsHolders = true
	var holders []lease.HolderID
	for name, record := range current.Gateways() {
		if record.MayHoldLease || record.Up { // records written before MayHoldLease existed have only Up
			holders = append(holders, lease.HolderID{Holder: name, Incarnation: record.Incarnation})
		}
	}
	m.grantor.ExpectReclaims(now, holders)
}

// NeedsConfirmation returns true once, when a new quorum contact would end the wait for
// leases of earlier primaries.
func (m *Manager) NeedsConfirmation() bool {
	if m.confirming || !m.grantor.AwaitsQuorumContact() {
		return false
	}
	m.confirming = true
	return true
}

// Expired returns the holders whose leases have expired since the last call. It also drops
// expired leases, so that those of replaced incarnations do not accumulate.
func (m *Manager) Expired(now time.Duration) []lease.HolderID { return m.grantor.Expired(now) }

// Holders returns the leases that have not expired.
func (m *Manager) Holders(now time.Duration) []lease.HolderStatus { return m.grantor.Holders(now) }

// ActiveVersions returns the configuration version that each gateway reported as active, by
// gateway name.
func (m *Manager) ActiveVersions() map[string]uint64 {
	versions := make(map[string]uint64, len(m.gateways))
	for name, observed := range m.gateways {
		versions[name] = observed.activeVersion
	}
	return versions
}

// ActivatableSerial returns the newest serial that gateways may activate now; 0 if none.
func (m *Manager) ActivatableSerial() uint32 { return m.grantor.ActivationSerial() }

// InForceSerial returns the newest serial known to be active at every lease holder; 0 if
// unknown.
func (m *Manager) InForceSerial() uint32 {
	serial, _ := m.grantor.SerialInForce()
	return serial
}

// Addresses returns the peer addresses of the gateways that have renewed with this primary
// or whose records mark them up.
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
