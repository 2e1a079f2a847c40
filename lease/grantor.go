package lease

import (
	"time"

	"github.com/deckpulley/deckpulley/internal/planted"
)

// Grantor is the primary's side for one term of leadership. It is not safe for
// concurrent use. Discard it when the leadership is lost.
type Grantor struct {
	config Config
	term   uint64
	leases map[HolderID]*lease
	// summary is of all live leases.
	summary leaseSummary
	// released is until when delayed renewals of a holder that has released its lease
	// are not granted.
	released map[HolderID]time.Duration

	quorumContact      time.Duration
	quorumContactKnown bool

	// serial is the newest of the table. electionSerial is the one at the election: no
	// earlier primary can have returned a newer one as in force.
	serial           uint32
	electionSerial   uint32
	activationSerial uint32
	serialInForce    uint32 // the newest that was returned

	gracePeriodEnd time.Duration
	// pendingReclaims has the incarnation of each holder, by name, that may have a lease
	// of an earlier primary and is not accounted for; nil if that is not known.
	pendingReclaims map[string]string
	// lastReclaim is when the last one of pendingReclaims was accounted for.
	lastReclaim time.Duration
}

// slowTakeover is what planted.SlowTakeover adds to the grace period.
const slowTakeover = 15 * time.Second

// NewGrantor returns a Grantor for a term that began at the time elected. Its serial is
// the table's once every entry of earlier terms is applied.
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

// SetSerial sets the newest serial of the table. An older one changes nothing.
func (g *Grantor) SetSerial(serial uint32) {
	if serialLess(g.serial, serial) {
		g.serial = serial
		g.summary.current = false
	}
}

// SetQuorumContact sets the send time of the newest heartbeat round that a quorum
// acknowledged in this term; an older one changes nothing. Call it whenever it changes
// and before SerialInForce, since leases are judged as expired only up to it.
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

// Renew decides one renewal. The contact is as in SetQuorumContact; contactKnown is
// false while there is none in this term.
func (g *Grantor) Renew(now, contact time.Duration, contactKnown bool, request Request) Decision {
	id := HolderID{Holder: request.Holder, Incarnation: request.Incarnation}
	if contactKnown {
		g.SetQuorumContact(contact)
	}
	if request.Release {
		g.release(now, id)
		return Decision{ActivationSerial: g.ActivationSerial()}
	}
	if !g.hasRecentQuorumContact(now) {
		return Decision{}
	}
	if now < g.released[id] {
		return Decision{Authoritative: true, ActivationSerial: g.ActivationSerial()}
	}
	duration := time.Duration(0)
	eligible := g.isEligible(request)
	if eligible {
		g.grant(now, id, request)
		duration = g.config.Duration
	}
	g.recordReclaim(now, request, eligible)
	return Decision{
		Authoritative:    true,
		LeaseDuration:    duration,
		ActivationSerial: g.raiseActivationSerial(request.ActiveSerial),
	}
}

func (g *Grantor) hasRecentQuorumContact(now time.Duration) bool {
	return g.quorumContactKnown && now-g.quorumContact <= g.config.MaxQuorumContactAge
}

// isEligible reports whether the holder may get a lease: only if it is not behind any
// serial that this or an earlier primary has returned as in force. A holder that is
// behind, but has kept a valid lease of an earlier primary, changes nothing by keeping
// it, as long as the grace period holds SerialInForce back anyway.
func (g *Grantor) isEligible(request Request) bool {
	if request.ActiveSerial == 0 {
		return false
	}
	bound := g.electionSerial
	if serial, known := g.SerialInForce(); known {
		bound = serial
	}
	reclaims := !g.GracePeriodOver() && request.LeaseValid && request.Term == g.term
	return reclaims || !serialLess(request.ActiveSerial, bound)
}

func (g *Grantor) grant(now time.Duration, id HolderID, request Request) {
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

// release ends a lease now. It counts as expired only with a quorum contact after now:
// until then another primary may have granted to holders that are behind.
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
