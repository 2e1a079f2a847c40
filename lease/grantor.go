package lease

import (
	"time"

	"github.com/deckpulley/deckpulley/internal/planted"
)

// Grantor grants the leases of a primary during one term of leadership. It is not safe
// for concurrent use. Discard it when the leadership is lost.
type Grantor struct {
	config Config
	term   uint64
	leases map[HolderID]*lease
	// summary is the cached summary of all live leases.
	summary leaseSummary
	// released has the holders that have released their lease. Until the time in it,
	// renewals from the holder get no lease, since they may be delayed.
	released map[HolderID]time.Duration

	quorumContact      time.Duration
	quorumContactKnown bool

	// serial is the newest serial of the table. electionSerial is the serial at the
	// election: no earlier primary can have returned a newer one as in force.
	serial           uint32
	electionSerial   uint32
	activationSerial uint32
	serialInForce    uint32 // the newest that SerialInForce has returned

	gracePeriodEnd time.Duration
	// pendingReclaims has, by name, the incarnation of each holder that may have a lease
	// of an earlier primary and is not accounted for yet. It is nil if ExpectReclaims was
	// not called.
	pendingReclaims map[string]string
	// lastReclaim is the time at which a holder was last accounted for, or else that of
	// ExpectReclaims.
	lastReclaim time.Duration
}

// slowTakeover is the time that the defect planted.SlowTakeover adds to the grace period.
const slowTakeover = 15 * time.Second

// NewGrantor returns a Grantor for a term that began at the time elected. serial is the
// serial of the table after every entry of earlier terms has been applied.
func NewGrantor(config Config, term uint64, elected time.Duration, serial uint32) *Grantor {
	gracePeriodEnd := elected + config.GracePeriod()
	if planted.Active(planted.SlowTakeover) {
		gracePeriodEnd += slowTakeover
	}
	return &Grantor{
		config:         config,
		term:           term,
		leases:         make(map[HolderID]*lease),
		released:       make(map[HolderID]time.Duration),
		serial:         serial,
		electionSerial: serial,
		gracePeriodEnd: gracePeriodEnd,
	}
}

// Term returns the term of the leadership.
func (g *Grantor) Term() uint64 { return g.term }

// SetSerial sets the newest serial of the table. An older serial is ignored.
func (g *Grantor) SetSerial(serial uint32) {
	if serialLess(g.serial, serial) {
		g.serial = serial
		g.summary.current = false
	}
}

// SetQuorumContact sets the quorum contact: the send time of the newest heartbeat round
// that a quorum has acknowledged in this term. An older time is ignored. Call it whenever
// the quorum contact changes and before SerialInForce, since a lease counts as expired
// only if it had already expired at the time of the quorum contact.
func (g *Grantor) SetQuorumContact(contact time.Duration) {
	if g.quorumContactKnown && contact <= g.quorumContact {
		return
	}
	g.quorumContact = contact
	g.quorumContactKnown = true
	if g.summary.hasUnconfirmed || contact >= g.summary.firstExpiry {
		g.summary.current = false
	}
}

// Renew processes one renewal request and returns the decision. contact is the quorum
// contact as in SetQuorumContact; contactKnown is false while there is none in this term.
func (g *Grantor) Renew(now, contact time.Duration, contactKnown bool, request RenewalRequest) Decision {
	id := HolderID{Holder: request.Holder, Incarnation: request.Incarnation}
	if contactKnown {
		g.SetQuorumContact(contact)
	}
	if request.Release {
		g.release(now, id)
		confirmed := request.Follows && g.hasRecentQuorumContact(now)
		return Decision{QuorumConfirmed: confirmed, ActivationSerial: g.ActivationSerial()}
	}
	if !g.hasRecentQuorumContact(now) {
		return Decision{}
	}
	if now < g.released[id] {
		return Decision{QuorumConfirmed: true, ActivationSerial: g.ActivationSerial()}
	}
	duration := time.Duration(0)
	eligible := g.isEligible(request)
	if eligible {
		g.grant(now, id, request)
		duration = g.config.Duration
	}
	g.recordReclaim(now, request, eligible)
	return Decision{
		QuorumConfirmed:  true,
		LeaseDuration:    duration,
		ActivationSerial: g.raiseActivationSerial(request.ActiveSerial),
	}
}

func (g *Grantor) hasRecentQuorumContact(now time.Duration) bool {
	return g.quorumContactKnown && now-g.quorumContact <= g.config.MaxQuorumContactAge
}

// isEligible reports whether the holder may get a lease. Its active serial must not be
// older than any serial that this or an earlier primary may have returned as in force.
// During the grace period, a holder with an older active serial may also extend a lease
// that was valid when it sent the request, if it knew this term then. This is safe since
// SerialInForce returns no serial until the grace period is over, and takes the extended
// lease into account afterwards.
func (g *Grantor) isEligible(request RenewalRequest) bool {
	if request.ActiveSerial == 0 {
		return false
	}
	bound := g.electionSerial
	if serial, known := g.SerialInForce(); known {
		bound = serial
	}
	extendsValidLease := !g.GracePeriodOver() && request.LeaseValid && request.Term == g.term
	return extendsValidLease || !serialLess(request.ActiveSerial, bound)
}

func (g *Grantor) grant(now time.Duration, id HolderID, request RenewalRequest) {
	entry, known := g.leases[id]
	if !known {
		entry = &lease{}
		g.leases[id] = entry
	}
	if !g.isLive(entry) || serialLess(entry.receivedSerial, request.ReceivedSerial) || serialLess(entry.activeSerial, request.ActiveSerial) {
		g.summary.current = false
	}
	entry.expiry = now + g.config.Duration + g.config.ClockDriftMargin
	entry.expiryReported = false
	entry.receivedSerial = newerSerial(entry.receivedSerial, request.ReceivedSerial)
	entry.recordActiveSerial(now, request.ActiveSerial)
}

// release ends a lease at the time now. The lease counts as expired only once the quorum
// contact is not before now: until then, another primary may have granted a lease to a
// holder with an older active serial.
func (g *Grantor) release(now time.Duration, id HolderID) {
	if entry, known := g.leases[id]; known {
		entry.expiry = min(entry.expiry, now)
		entry.expiryReported = true
		g.summary.current = false
	}
	for other, end := range g.released {
		if end <= now {
			delete(g.released, other)
		}
	}
	g.released[id] = now + g.config.Duration + g.config.ClockDriftMargin
}
