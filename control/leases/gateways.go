package leases

import (
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
)

// MissedRenewals is the number of renewals that a gateway must miss before clients
// and other gateways are no longer sent to it.
const MissedRenewals = 4

// RecordRenewal keeps who renewed. It returns the change of the gateway's member
// record that follows, nil if none; the caller passes that to QueueRecord.
func (m *Manager) RecordRenewal(now time.Duration, current *catalog.State, renew *peer.Renew) *RecordChange {
	if m.isLate(current, renew) {
		return nil
	}
	observed, known := m.gateways[renew.Gateway.Name]
	if !known {
		observed = &gateway{since: now}
		m.gateways[renew.Gateway.Name] = observed
	}
	restarted := observed.info.Incarnation != renew.Gateway.Incarnation
	lapsed := now-observed.renewed > m.config.Lease.Duration
	if restarted || lapsed {
		observed.since = now
	}
	if restarted || lapsed || observed.received != renew.ReceivedSerial || observed.active != renew.ActiveSerial {
		m.reportsChanged = true
	}
	observed.info = renew.Gateway
	observed.received = renew.ReceivedSerial
	observed.active = renew.ActiveSerial
	observed.renewed = now
	observed.contacted = now
	observed.activeVersion = renew.ActiveVersion
	return m.recordChange(now, current, renew.Gateway.Name, observed)
}

// isLate is true for a renewal that may come from a process that has ended: of an
// incarnation that was replaced, or of another one than the registry names that
// does not know this term. A gateway that has just started knows the term from its
// second renewal on.
func (m *Manager) isLate(current *catalog.State, renew *peer.Renew) bool {
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

// recordChange brings the member record of a gateway in line with its lease.
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
	if returned && now-observed.since < m.config.GatewayGrace {
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

// Lapsed returns the changes that mark gateways down which have missed several
// renewals, so that nobody is sent to them, and those that record whose lease has
// expired, after a grace. Gateways that never renewed with this primary are included.
// The caller passes each change to QueueRecord.
func (m *Manager) Lapsed(now time.Duration, current *catalog.State) []*RecordChange {
	var changes []*RecordChange
	for name, record := range current.Gateways() {
		observed, known := m.gateways[name]
		if !known {
			observed = &gateway{renewed: m.latestEarlierRenewal(), contacted: m.elected}
			m.gateways[name] = observed
		}
		if change := m.lapse(now, name, record, observed); change != nil {
			changes = append(changes, change)
		}
	}
	return changes
}

func (m *Manager) lapse(now time.Duration, name string, record catalog.Gateway, observed *gateway) *RecordChange {
	expiry := m.config.Lease.Duration + m.config.Lease.ClockDriftMargin + m.config.GatewayGrace
	expired := record.MayHoldLease && now-observed.renewed > expiry
	idle := record.Up && now-observed.contacted > MissedRenewals*m.config.Lease.RenewalInterval
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

// latestEarlierRenewal is the latest time at which a gateway that never renewed with
// this primary may have renewed with the one before: its lease ends at the end of
// the window that a new primary waits for older leases.
func (m *Manager) latestEarlierRenewal() time.Duration {
	config := m.config.Lease
	return m.elected + config.GracePeriod() - config.Duration - config.ClockDriftMargin
}
