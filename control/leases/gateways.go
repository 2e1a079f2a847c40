package leases

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/internal/rotation"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
)

// MissedRenewals is the number of renewals that a gateway must miss before it is marked
// down, so that clients and other gateways are no longer directed to it.
const MissedRenewals = 4

// RecordRenewal records a gateway's renewal. It returns the resulting change of the
// gateway's record, or nil if there is none. The caller passes the change to
// QueueRecordChange.
func (m *Manager) RecordRenewal(now time.Duration, current *catalog.State, renew *peer.Renew) *RecordChange {
	if m.isStale(current, renew) {
		return nil
	}
	observed, known := m.gateways[renew.Gateway.Name]
	if !known {
		observed = &gateway{renewingSince: now}
		m.gateways[renew.Gateway.Name] = observed
	}
	restarted := observed.info.Incarnation != renew.Gateway.Incarnation
	lapsed := now-observed.lastRenewal > m.config.Lease.Duration
	if restarted || lapsed {
		observed.renewingSince = now
	}
	if restarted || lapsed || observed.receivedSerial != renew.ReceivedSerial || observed.activeSerial != renew.ActiveSerial {
		m.reportsChanged = true
	}
	observed.info = renew.Gateway
	observed.receivedSerial = renew.ReceivedSerial
	observed.activeSerial = renew.ActiveSerial
	observed.lastRenewal = now
	observed.lastContact = now
	observed.activeVersion = renew.ActiveVersion
	return m.recordChange(now, current, renew.Gateway.Name, observed)
}

// isStale reports whether a renewal may come from a process that has ended: its
// incarnation was replaced, or it is not the recorded incarnation and does not know the
// current term. A gateway that has just started knows the term from its second renewal on.
// A renewal that is not stale and has a new incarnation marks the recorded one as replaced.
func (m *Manager) isStale(current *catalog.State, renew *peer.Renew) bool {
	record, known := current.Gateways()[renew.Gateway.Name]
	if !known || record.Incarnation == renew.Gateway.Incarnation {
		return false
	}
	id := lease.HolderID{Holder: renew.Gateway.Name, Incarnation: renew.Gateway.Incarnation}
	if renew.Term != m.term || m.superseded[id] {
		return true
	}
	replaced := lease.HolderID{Holder: renew.Gateway.Name, Incarnation: record.Incarnation}
	m.superseded[replaced] = true
	return false
}

// recordChange returns the change that makes a gateway's record agree with its latest
// renewal, or nil if there is none or another change is in progress.
func (m *Manager) recordChange(now time.Duration, current *catalog.State, name string, observed *gateway) *RecordChange {
	if observed.recordPending {
		return nil
	}
	old, known := current.Gateways()[name]
	desired := catalog.Gateway{
		Incarnation:  observed.info.Incarnation,
		Zone:         observed.info.Zone,
		Region:       observed.info.Region,
		PeerAddress:  observed.info.PeerAddress,
		HTTPAddress:  observed.info.HTTPAddress,
		Up:           !observed.info.Draining,
		MayHoldLease: !observed.info.Draining,
		LinkMbps:     observed.info.LinkMbps,
	}
	returned := known && !old.Up && old.Incarnation == desired.Incarnation
	if returned && now-observed.renewingSince < m.config.GatewayGrace {
		desired.Up = false
	}
	if known && old == desired {
		return nil
	}
	observed.recordPending = true
	return &RecordChange{
		Gateway:  name,
		Old:      old,
		Existed:  known,
		New:      desired,
		finished: func() { observed.recordPending = false },
	}
}

// LapsedChanges returns the record changes for gateways that have stopped renewing. A
// gateway that has missed MissedRenewals renewals is marked down, so that nobody is directed to it,
// and once its lease has expired and GatewayGrace has passed, its record says that it holds
// none. Gateways that never renewed with this primary are included. The caller passes each
// change to QueueRecordChange.
func (m *Manager) LapsedChanges(now time.Duration, current *catalog.State) []*RecordChange {
	var changes []*RecordChange
	for name, record := range current.Gateways() {
		observed, known := m.gateways[name]
		if !known {
			observed = &gateway{lastRenewal: m.latestEarlierRenewal(), lastContact: m.electedAt}
			m.gateways[name] = observed
		}
		if change := m.lapsedChange(now, name, record, observed); change != nil {
			changes = append(changes, change)
		}
	}
	return changes
}

// lapsedChange returns the record change for one gateway, or nil if there is none or
// another change is in progress.
func (m *Manager) lapsedChange(now time.Duration, name string, record catalog.Gateway, observed *gateway) *RecordChange {
	expiry := m.config.Lease.Duration + m.config.Lease.ClockDriftMargin + m.config.GatewayGrace
	expired := record.MayHoldLease && now-observed.lastRenewal > expiry
	idle := record.Up && now-observed.lastContact > MissedRenewals*m.config.Lease.RenewalInterval
	if observed.recordPending || !expired && !idle {
		return nil
	}
	down := record
	down.Up = false
	down.MayHoldLease = record.MayHoldLease && !expired
	observed.recordPending = true
	observed.revoking = expired
	return &RecordChange{
		Gateway:  name,
		Old:      record,
		Existed:  true,
		New:      down,
		finished: func() { observed.recordPending, observed.revoking = false, false },
	}
}

// SilentAddresses returns the peer addresses of at most limit gateways that are marked down
// and have never renewed with this primary. All control nodes that such a gateway knew may
// have been replaced while it was away. Successive calls go through all of them.
func (m *Manager) SilentAddresses(current *catalog.State, limit int) []string {
	var addresses []string
	for name, record := range current.Gateways() {
		observed := m.gateways[name]
		renewed := observed != nil && observed.info.PeerAddress != ""
		if !record.Up && !renewed && record.PeerAddress != "" {
			addresses = append(addresses, record.PeerAddress)
		}
	}
	slices.Sort(addresses)
	next := rotation.Window(addresses, m.silentPosition, limit)
	m.silentPosition += uint64(len(next))
	return next
}

// latestEarlierRenewal returns the latest time at which a gateway that never renewed with
// this primary can have renewed with an earlier one: a lease renewed then expires at the
// end of the grace period, for which a new primary waits for leases of earlier primaries.
func (m *Manager) latestEarlierRenewal() time.Duration {
	config := m.config.Lease
	return m.electedAt + config.GracePeriod() - config.Duration - config.ClockDriftMargin
}
