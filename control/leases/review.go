package leases

import "time"

// Review is the result of the last call to Manager.Review that found a change.
type Review struct {
	// Contact is the send time of the newest heartbeat round that a quorum
	// acknowledged, if ContactKnown.
	Contact      time.Duration
	ContactKnown bool
	// Serial is the serial of the table.
	Serial uint32
	// Activate is the newest serial that gateways may activate; 0 if none.
	Activate uint32
	// InForce is the newest serial known to be active at every lease holder, if
	// InForceKnown.
	InForce      uint32
	InForceKnown bool
}

// Review computes which serial may be activated and which is in force. Both depend only on
// the table's serial, the quorum contact and the gateways' reports: Review returns false,
// and does nothing, if none of these has changed.
func (m *Manager) Review(contact time.Duration, contactKnown bool, serial uint32) bool {
	unchanged := contact == m.review.Contact && contactKnown == m.review.ContactKnown && serial == m.review.Serial
	if unchanged && !m.reportsChanged {
		return false
	}
	m.reportsChanged = false
	m.review.Contact, m.review.ContactKnown = contact, contactKnown
	m.review.Serial = serial
	if contactKnown {
		m.grantor.SetQuorumContact(contact)
	}
	m.review.Activate = m.grantor.ActivationSerial()
	m.review.InForce, m.review.InForceKnown = m.grantor.SerialInForce()
	return true
}

// LastReview returns the latest result of Review.
func (m *Manager) LastReview() Review { return m.review }

// TakeNotification returns true if the gateways must be notified, since the serial or the
// serial to activate differs from that of the last notification. The caller then sends one:
// the next call returns false unless one of them has changed again.
func (m *Manager) TakeNotification() bool {
	if m.review.Serial == m.notifiedSerial && m.review.Activate == m.notifiedActivate {
		return false
	}
	m.notifiedSerial = m.review.Serial
	m.notifiedActivate = m.review.Activate
	return true
}
