package lease

import "time"

// lease is the grantor's record of one holder's lease.
type lease struct {
	expiry         time.Duration
	expiryReported bool // Expired has returned the holder, or the holder released the lease
	receivedSerial uint32
	activeSerial   uint32 // the newest that the holder has reported
	// confirmedActiveSerial is the newest active serial that was reported up to the
	// quorum contact. unconfirmed has the reports after it, oldest first: since the
	// quorum contact, another primary may have been elected and may have granted a lease
	// to a holder with an older active serial.
	confirmedActiveSerial uint32
	unconfirmed           []activeReport
}

// activeReport is an active serial that a holder reported, and the time when the report
// was received.
type activeReport struct {
	receivedAt time.Duration
	serial     uint32
}

func (l *lease) recordActiveSerial(now time.Duration, serial uint32) {
	if !serialLess(l.activeSerial, serial) {
		return
	}
	l.activeSerial = serial
	l.unconfirmed = append(l.unconfirmed, activeReport{receivedAt: now, serial: serial})
}

// confirm moves the reports up to the quorum contact from unconfirmed to
// confirmedActiveSerial.
func (l *lease) confirm(contact time.Duration) {
	for len(l.unconfirmed) > 0 && l.unconfirmed[0].receivedAt <= contact {
		l.confirmedActiveSerial = l.unconfirmed[0].serial
		l.unconfirmed = l.unconfirmed[1:]
	}
	if len(l.unconfirmed) == 0 {
		l.unconfirmed = nil // releases the underlying array
	}
}

// leaseSummary aggregates all live leases. It is cached, since every renewal needs it but
// few renewals change it.
type leaseSummary struct {
	// current is false if the summary must be computed again.
	current bool
	// firstExpiry is the earliest expiry of the live leases, NoDeadline if there are none.
	firstExpiry time.Duration
	// receivedSerial and confirmedActiveSerial are the oldest of the live leases, or 0 if
	// a lease has none. Without live leases they are the newest serial of the table.
	receivedSerial        uint32
	confirmedActiveSerial uint32
	hasUnconfirmed        bool
}

// summarize returns the summary of the live leases. It iterates over the leases only if
// the cached summary is not current.
func (g *Grantor) summarize() leaseSummary {
	if g.summary.current {
		return g.summary
	}
	summary := leaseSummary{current: true, firstExpiry: NoDeadline, receivedSerial: g.serial, confirmedActiveSerial: g.serial}
	for _, entry := range g.leases {
		if !g.isLive(entry) {
			continue
		}
		entry.confirm(g.quorumContact)
		summary.firstExpiry = min(summary.firstExpiry, entry.expiry)
		summary.hasUnconfirmed = summary.hasUnconfirmed || len(entry.unconfirmed) > 0
		if serialLess(entry.receivedSerial, summary.receivedSerial) {
			summary.receivedSerial = entry.receivedSerial
		}
		if serialLess(entry.confirmedActiveSerial, summary.confirmedActiveSerial) {
			summary.confirmedActiveSerial = entry.confirmedActiveSerial
		}
	}
	g.summary = summary
	return summary
}

// isLive reports whether the lease may still be valid at its holder. A lease counts as
// expired only if it had already expired at the time of the quorum contact.
func (g *Grantor) isLive(entry *lease) bool {
	return entry.expiry > g.quorumContact
}

// ActivationSerial returns the newest serial that holders may make active, or 0 if there
// is none yet. It is the newest serial that every holder with a lease has received, and
// never older than a serial that a holder has reported as active.
func (g *Grantor) ActivationSerial() uint32 {
	return g.raiseActivationSerial(0)
}

// raiseActivationSerial is like ActivationSerial, and takes into account a serial that a
// holder has just reported as active.
func (g *Grantor) raiseActivationSerial(reported uint32) uint32 {
	g.activationSerial = newerSerial(g.activationSerial, reported)
	if g.GracePeriodOver() {
		g.activationSerial = newerSerial(g.activationSerial, g.summarize().receivedSerial)
	}
	return g.activationSerial
}

// SerialInForce returns the newest serial that is active at every holder that may have
// a valid lease, as of the quorum contact: call SetQuorumContact first. It returns false
// until the grace period is over. It also returns false if a holder with a lease has no
// confirmed active serial, unless an earlier call has returned a serial; then it returns
// that serial. The returned serial never decreases.
func (g *Grantor) SerialInForce() (uint32, bool) {
	if !g.GracePeriodOver() {
		return 0, false
	}
	confirmed := g.summarize().confirmedActiveSerial
	if confirmed == 0 {
		return g.serialInForce, g.serialInForce != 0
	}
	g.serialInForce = newerSerial(g.serialInForce, confirmed)
	return g.serialInForce, true
}
