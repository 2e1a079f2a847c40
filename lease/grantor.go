package lease

import (
	"sort"
	"time"

	"github.com/deckpulley/deckpulley/internal/planted"
)

// HolderID names one incarnation of one holder.
type HolderID struct {
	Holder      string
	Incarnation string
}

// Request is one renewal as the grantor sees it.
type Request struct {
	Holder      string
	Incarnation string
	// ReceivedSerial is the newest serial that the holder has a copy of, 0 for none.
	ReceivedSerial uint32
	// ActiveSerial is the serial that decides at the holder, 0 for none. It never falls
	// within one incarnation.
	ActiveSerial uint32
	// Release gives the lease up; the holder has stopped acting on it already.
	Release bool
	// LeaseValid says that the holder's lease was valid when it sent the request.
	LeaseValid bool
	// Term is the newest term that the holder knew when it sent the request.
	Term uint64
}

// Decision answers one renewal.
type Decision struct {
	// Authoritative says that the grantor leads: the transfer and Activate may be
	// taken from it. Without it nothing else holds.
	Authoritative bool
	// LeaseDuration of the lease from the sending of the request. Zero is no lease yet:
	// the holder must first make a newer serial active.
	LeaseDuration time.Duration
	// ActivationSerial allows every held serial up to this one to become active; 0 is none.
	ActivationSerial uint32
}

// HolderStatus describes one live lease.
type HolderStatus struct {
	Holder         string
	Incarnation    string
	Remaining      time.Duration
	ReceivedSerial uint32
	ActiveSerial   uint32
}

// lease is what the grantor knows of one holder.
type lease struct {
	expires time.Duration
	held    uint32
	active  uint32 // newest reported
	// proven is the newest active serial that was reported before the proof of
	// leadership; the later reports wait for a newer proof.
	proven  uint32
	waiting []report
	told    bool // Expired has reported it
}

// report is an active serial and when it was reported.
type report struct {
	at     time.Duration
	active uint32
}

// reportActive notes a holder's active serial.
func (l *lease) reportActive(now time.Duration, active uint32) {
	if !serialLess(l.active, active) {
		return
	}
	l.active = active
	l.waiting = append(l.waiting, report{at: now, active: active})
}

// prove moves the reports up to the proof of leadership.
func (l *lease) prove(contact time.Duration) {
	for len(l.waiting) > 0 && l.waiting[0].at <= contact {
		l.proven = l.waiting[0].active
		l.waiting = l.waiting[1:]
	}
	if len(l.waiting) == 0 {
		l.waiting = nil
	}
}

// oldest is what the live leases have in common. It is kept between calls, since
// each renewal asks for it and few change it.
type oldest struct {
	known bool
	// until is when the first of the live leases runs out, unless it is renewed.
	until    time.Duration
	held     uint32 // oldest held serial, the table's without leases
	proven   uint32 // oldest proven active serial, the table's without leases; 0 if one has none
	unproven bool   // some reports wait for a newer proof of leadership
}

// Grantor is the primary's side for one term of leadership. It is not safe for
// concurrent use. Discard it when the leadership is lost.
type Grantor struct {
	terms       Config
	term        uint64
	windowEnd   time.Duration
	serial      uint32 // newest serial of the table
	floor       uint32 // serial of the election, an upper bound on what others reported in force
	activate    uint32
	reported    uint32 // newest serial that InForce returned
	contact     time.Duration
	contactSeen bool
	leases      map[HolderID]*lease
	oldest      oldest
	left        map[HolderID]time.Duration // until when late renewals of those that left are ignored
	// expected are the holders that may have leases of earlier primaries, by name
	// with their incarnation; nil is not known. settled is when the last of them
	// was accounted for.
	expected map[string]string
	settled  time.Duration
}

// slowTakeover is what planted.SlowTakeover adds to the window.
const slowTakeover = 15 * time.Second

// NewGrantor begins a term at the monotonic time elected. serial is
// the table's once every entry of earlier terms is applied.
func NewGrantor(terms Config, term uint64, elected time.Duration, serial uint32) *Grantor {
	windowEnd := elected + terms.GracePeriod()
	if planted.Active(planted.SlowTakeover) {
		windowEnd += slowTakeover
	}
	return &Grantor{
		terms:     terms,
		term:      term,
		windowEnd: windowEnd,
		serial:    serial,
		floor:     serial,
		leases:    make(map[HolderID]*lease),
		left:      make(map[HolderID]time.Duration),
	}
}

// ExpectReclaims tells every holder that may have a lease of an earlier primary. The
// window then ends as soon as each of them is accounted for: it asked under
// another incarnation, so that the named one has ended, or it asked knowing this
// term, so that it drops earlier grants, and holds either no valid lease or one
// of this grantor. Call it before the first Renew, if at all; the list must
// contain every holder to which an earlier primary may have granted.
func (g *Grantor) ExpectReclaims(now time.Duration, holders []HolderID) {
	g.expected = make(map[string]string, len(holders))
	for _, holder := range holders {
		g.expected[holder.Holder] = holder.Incarnation
	}
	g.settled = now
}

// account takes a renewal as evidence about a lease of an earlier primary.
func (g *Grantor) account(now time.Duration, request Request, granted bool) {
	incarnation, open := g.expected[request.Holder]
	if !open {
		return
	}
	if request.Term != g.term {
		return // it may be late, and from before the incarnation that is named
	}
	restarted := request.Incarnation != incarnation
	if restarted || granted || !request.LeaseValid {
		delete(g.expected, request.Holder)
		g.settled = now
	}
}

// Term returns the term.
func (g *Grantor) Term() uint64 { return g.term }

// SetSerial tells the newest serial of the table.
func (g *Grantor) SetSerial(serial uint32) {
	if serialLess(g.serial, serial) {
		g.serial = serial
		g.oldest.known = false
	}
}

// SetQuorumContact tells the newest proof of leadership: the sending time of the newest
// heartbeat round that a majority acknowledged in this term. Call it whenever it
// changes and before InForce, since leases are judged as run out only up to it.
func (g *Grantor) SetQuorumContact(contact time.Duration) {
	if g.contactSeen && contact <= g.contact {
		return
	}
	g.contact = contact
	g.contactSeen = true
	if g.oldest.unproven || contact >= g.oldest.until {
		g.oldest.known = false
	}
}

// Renew decides one renewal. contact is as in SetContact; contactKnown is false
// while there is none in this term.
func (g *Grantor) Renew(now, contact time.Duration, contactKnown bool, request Request) Decision {
	id := HolderID{Holder: request.Holder, Incarnation: request.Incarnation}
	if contactKnown {
		g.SetQuorumContact(contact)
	}
	if request.Release {
		g.leave(now, id)
		return Decision{ActivationSerial: g.ActivationSerial()}
	}
	if !g.provenLeader(now) {
		return Decision{}
	}
	if now < g.left[id] {
		return Decision{Authoritative: true, ActivationSerial: g.ActivationSerial()}
	}
	length := time.Duration(0)
	mayHold := g.mayHold(request)
	if mayHold {
		g.grant(now, id, request)
		length = g.terms.Duration
	}
	g.account(now, request, mayHold)
	return Decision{Authoritative: true, LeaseDuration: length, ActivationSerial: g.activation(request.ActiveSerial)}
}

func (g *Grantor) provenLeader(now time.Duration) bool {
	return g.contactSeen && now-g.contact <= g.terms.MaxQuorumContactAge
}

// mayHold keeps the invariant: whoever gets a lease is not behind anything that
// was reported in force by this or an earlier primary.
func (g *Grantor) mayHold(request Request) bool {
	if request.ActiveSerial == 0 {
		return false
	}
	bound := g.floor
	if serial, known := g.SerialInForce(); known {
		bound = serial
	}
	continued := !g.windowOver() && request.LeaseValid && request.Term == g.term
	return continued || !serialLess(request.ActiveSerial, bound)
}

func (g *Grantor) grant(now time.Duration, id HolderID, request Request) {
	entry, known := g.leases[id]
	if !known {
		entry = &lease{}
		g.leases[id] = entry
	}
	if !g.live(entry) || serialLess(entry.held, request.ReceivedSerial) || serialLess(entry.active, request.ActiveSerial) {
		g.oldest.known = false
	}
	entry.expires = now + g.terms.Duration + g.terms.ClockDriftMargin
	entry.held = newerSerial(entry.held, request.ReceivedSerial)
	entry.reportActive(now, request.ActiveSerial)
	entry.told = false
}

// leave ends the lease now, as seen once there is a proof of leadership from after
// now: until then another primary may have let others in.
func (g *Grantor) leave(now time.Duration, id HolderID) {
	if entry, known := g.leases[id]; known {
		entry.expires = min(entry.expires, now)
		entry.told = true
		g.oldest.known = false
	}
	for other, until := range g.left {
		if until <= now {
			delete(g.left, other)
		}
	}
	g.left[id] = now + g.terms.Duration + g.terms.ClockDriftMargin
}

// windowOver says whether every lease of earlier primaries has run out or is
// accounted for, as far as the proof of leadership reaches.
func (g *Grantor) windowOver() bool {
	if !g.contactSeen {
		return false
	}
	accounted := g.expected != nil && len(g.expected) == 0 && g.contact >= g.settled
	return accounted || g.contact >= g.windowEnd
}

// GracePeriodOver says whether nobody can have a lease of an earlier primary any more.
func (g *Grantor) GracePeriodOver() bool { return g.windowOver() }

// AwaitsQuorumContact says that each holder that may have a lease of an earlier primary is
// accounted for, and that only a newer proof of leadership is missing.
func (g *Grantor) AwaitsQuorumContact() bool {
	return g.expected != nil && len(g.expected) == 0 && !g.windowOver()
}

// activation raises Activate by what is now known. reported is a serial that
// some holder has just reported as active, 0 for none.
func (g *Grantor) activation(reported uint32) uint32 {
	g.activate = newerSerial(g.activate, reported)
	if g.windowOver() {
		g.activate = newerSerial(g.activate, g.oldestOfAll().held)
	}
	return g.activate
}

// oldestOfAll looks through the leases if anything may have changed.
func (g *Grantor) oldestOfAll() oldest {
	if g.oldest.known {
		return g.oldest
	}
	found := oldest{known: true, until: NoDeadline, held: g.serial, proven: g.serial}
	for _, entry := range g.leases {
		if !g.live(entry) {
			continue
		}
		entry.prove(g.contact)
		found.until = min(found.until, entry.expires)
		found.unproven = found.unproven || len(entry.waiting) > 0
		if serialLess(entry.held, found.held) {
			found.held = entry.held
		}
		if serialLess(entry.proven, found.proven) {
			found.proven = entry.proven
		}
	}
	g.oldest = found
	return found
}

// live says that the lease may be valid at its holder, as far as the proof of
// leadership reaches.
func (g *Grantor) live(entry *lease) bool {
	return entry.expires > g.contact
}

// ActivationSerial returns the newest serial that holders may make active: the newest
// one held by all of them, and never older than one that a holder reported as
// active. 0 is none yet.
func (g *Grantor) ActivationSerial() uint32 {
	return g.activation(0)
}

// SerialInForce returns the newest serial that every live lease holder reports as
// active, as of the newest proof of leadership: call SetContact first. It is unknown
// (false) until the leases of earlier primaries have run out, or while a live
// lease has no active serial as of that proof and nothing was known before. What
// it returns never falls.
func (g *Grantor) SerialInForce() (uint32, bool) {
	if !g.windowOver() {
		return 0, false
	}
	proven := g.oldestOfAll().proven
	if proven == 0 {
		return g.reported, g.reported != 0
	}
	g.reported = newerSerial(g.reported, proven)
	return g.reported, true
}

// Expired returns the holders whose leases have run out since the last call,
// each once, and forgets those that no longer matter.
func (g *Grantor) Expired(now time.Duration) []HolderID {
	var expired []HolderID
	for id, entry := range g.leases {
		if entry.expires > now {
			continue
		}
		if !entry.told {
			entry.told = true
			expired = append(expired, id)
		}
		if !g.live(entry) {
			delete(g.leases, id) // also of those that left, see leave
		}
	}
	sort.Slice(expired, func(i, j int) bool { return less(expired[i], expired[j]) })
	return expired
}

// Holders lists the live leases by name.
func (g *Grantor) Holders(now time.Duration) []HolderStatus {
	holders := make([]HolderStatus, 0, len(g.leases))
	for id, entry := range g.leases {
		if entry.expires <= now {
			continue
		}
		holders = append(holders, HolderStatus{
			Holder:         id.Holder,
			Incarnation:    id.Incarnation,
			Remaining:      entry.expires - now,
			ReceivedSerial: entry.held,
			ActiveSerial:   entry.active,
		})
	}
	sort.Slice(holders, func(i, j int) bool {
		left := HolderID{Holder: holders[i].Holder, Incarnation: holders[i].Incarnation}
		right := HolderID{Holder: holders[j].Holder, Incarnation: holders[j].Incarnation}
		return less(left, right)
	})
	return holders
}

func less(a, b HolderID) bool {
	if a.Holder != b.Holder {
		return a.Holder < b.Holder
	}
	return a.Incarnation < b.Incarnation
}

// NextDeadline returns when something changes by the passing of time alone: the
// end of the window or the next lease that runs out. NoDeadline is never.
func (g *Grantor) NextDeadline(now time.Duration) time.Duration {
	next := NoDeadline
	if g.windowEnd > now {
		next = g.windowEnd
	}
	for _, entry := range g.leases {
		if entry.expires > now && entry.expires < next {
			next = entry.expires
		}
	}
	return next
}
