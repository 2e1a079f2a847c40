package lease

import "time"

// lease is the grantor's record of one holder's lease.
type lease struct {
	expiry         time.Duration
	expiryReported bool // by Expired
	receivedSerial uint32
	activeSerial   uint32 // the newest reported
	// confirmedActiveSerial is the newest active serial that was reported before the
	// quorum contact. Later reports are unconfirmed, oldest first: after the quorum
	// contact, another primary may have granted to a holder that is behind them.
	confirmedActiveSerial uint32
	unconfirmed           []activeReport
}

// activeReport is an active serial and when its report was received.
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

// confirm confirms the reports up to the quorum contact.
func (l *lease) confirm(contact time.Duration) {
	for len(l.unconfirmed) > 0 && l.unconfirmed[0].receivedAt <= contact {
		l.confirmedActiveSerial = l.unconfirmed[0].serial
		l.unconfirmed = l.unconfirmed[1:]
	}
	if len(l.unconfirmed) == 0 {
		l.unconfirmed = nil // releases the array
	}
}

// leaseSummary is what all live leases have in common. It is kept between calls, since
// every renewal needs it and few change it.
type leaseSummary struct {
	// current is false when the summary must be computed again.
	current bool
	// firstExpiry is when the first of the live leases expires if it is not renewed.
	firstExpiry time.Duration
	// receivedSerial and confirmedActiveSerial are the oldest ones of the live leases;
	// without any, the table's. 0 if a lease has none.
	receivedSerial        uint32
	confirmedActiveSerial uint32
	hasUnconfirmed        bool
}

// summarize returns the summary of the live leases. It visits all leases only if the
// summary is not current.
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

// isLive reports whether the lease may be valid at its holder, as far as the quorum
// contact permits to judge.
func (g *Grantor) isLive(entry *lease) bool {
	return entry.expiry > g.quorumContact
}

// ActivationSerial returns the newest serial that holders may make active: the newest
// one that every holder with a lease has received, and never older than one that a
// holder has reported as active. It is 0 if there is none yet.
func (g *Grantor) ActivationSerial() uint32 {
	return g.raiseActivationSerial(0)
}

// raiseActivationSerial is ActivationSerial with a serial that a holder has just
// reported as active.
func (g *Grantor) raiseActivationSerial(reported uint32) uint32 {
	g.activationSerial = newerSerial(g.activationSerial, reported)
	if g.GracePeriodOver() {
		g.activationSerial = newerSerial(g.activationSerial, g.summarize().receivedSerial)
	}
	return g.activationSerial
}

// SerialInForce returns the newest serial that is active at every holder that may have
// a valid lease, as of the quorum contact: call SetQuorumContact first. It returns false
// until the grace period is over, and while some holder with a lease has no confirmed
// active serial and none was in force before. What it returns never falls.
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
