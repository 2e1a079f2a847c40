package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The simulation runs a fleet with one real clock that nobody sees. Primaries
// come and go, also without knowing; messages take any time or get lost.

const (
	simulatedHolders = 3
	// Clocks run within 3% of real time, so that two of them drift by less than
	// Margin over a lease: 1800 ms * 1.03/0.97 is 1911 ms.
	slowestClock = 0.97
	fastestClock = 1.03
)

// chooser picks a number in [0, n).
type chooser func(n int) int

// clock is one process's monotonic clock.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) read(real time.Duration) time.Duration {
	return c.offset + time.Duration(float64(real)*c.rate)
}

func chooseClock(choose chooser) clock {
	step := (fastestClock - slowestClock) / 10
	return clock{
		offset: time.Duration(choose(1000)) * time.Second,
		rate:   slowestClock + step*float64(choose(11)),
	}
}

type simulatedPrimary struct {
	clock   clock
	grantor *Grantor
	// contact is the newest proof of leadership in real time; it stops at the election
	// of the next primary, of which this one may not know.
	contact time.Duration
	known   bool
}

type simulatedHolder struct {
	clock       clock
	holder      *Holder
	name        string
	incarnation int
	copies      []uint32 // serials held
	active      uint32
}

type renewal struct {
	holder  int
	primary int
	sent    time.Duration // holder's clock
	request Request
}

type grant struct {
	holder      int
	incarnation int
	term        uint64
	sent        time.Duration
	decision    Decision
	transfer    uint32
}

type simulation struct {
	choose    chooser
	terms     Config
	real      time.Duration
	serial    uint32 // newest committed
	primaries []*simulatedPrimary
	holders   []*simulatedHolder
	renewals  []renewal
	grants    []grant
	inForce   uint32 // newest serial that any primary reported
	defect    func(*Grantor)
	blind     bool // planted defect: leases are judged by the clock alone
	granted   int
	advances  int
	early     int // windows that ended early
	// recorded is what the registry holds: the incarnation of each holder that may
	// have a lease. superseded are those that a newer one replaced in the newest
	// primary's memory.
	recorded   map[string]string
	superseded map[HolderID]bool
	forgetful  bool // planted defect: leases are granted without a record
}

func newSimulation(choose chooser) *simulation {
	s := &simulation{choose: choose, terms: DefaultConfig(), serial: 1, recorded: make(map[string]string)}
	for i := range simulatedHolders {
		s.holders = append(s.holders, &simulatedHolder{
			clock:  chooseClock(choose),
			holder: NewHolder(s.terms),
			name:   fmt.Sprint("gateway-", i),
		})
	}
	return s
}

func (s *simulation) newest() *simulatedPrimary { return s.primaries[len(s.primaries)-1] }

// step does one thing and returns a violation of the invariant, if any.
func (s *simulation) step() error {
	if len(s.primaries) == 0 {
		s.elect()
	}
	switch s.choose(16) {
	case 0:
		if s.choose(20) == 0 {
			s.elect()
		}
	case 1:
		s.serial = nextSerial(s.serial)
		s.newest().grantor.SetSerial(s.serial)
	case 2:
		if s.choose(4) == 0 {
			s.hint()
		} else {
			s.notify()
		}
	case 3, 4:
		s.real += time.Duration(1+s.choose(s.longestPause())) * time.Millisecond
	case 5:
		if s.choose(12) == 0 {
			s.restart(s.choose(len(s.holders)))
		}
	case 6, 7, 8:
		s.sendRenewal(s.choose(len(s.holders)))
	case 9, 10, 11:
		s.receiveRenewal()
	case 12, 13, 14:
		s.receiveGrant()
	case 15:
		s.report(s.choose(len(s.primaries)))
	}
	return s.check()
}

// longestPause is short mostly, so that leases are kept up, and sometimes long.
func (s *simulation) longestPause() int {
	if s.choose(5) == 0 {
		return 900
	}
	return 120
}

// anyOf picks one of n messages in flight, a newer one more often.
func (s *simulation) anyOf(n int) int {
	if s.choose(3) > 0 {
		return n - 1 - s.choose(min(n, 3))
	}
	return s.choose(n)
}

func nextSerial(serial uint32) uint32 {
	if serial++; serial == 0 {
		serial++
	}
	return serial
}

// elect makes a new primary. The old one goes on without proof of leadership.
func (s *simulation) elect() {
	primary := &simulatedPrimary{clock: chooseClock(s.choose)}
	term := uint64(len(s.primaries) + 1)
	primary.grantor = NewGrantor(s.terms, term, primary.clock.read(s.real), s.serial)
	if s.defect != nil {
		s.defect(primary.grantor)
	}
	s.primaries = append(s.primaries, primary)
	s.superseded = make(map[HolderID]bool)
	if s.choose(4) == 0 {
		return // a primary that was not told
	}
	var expected []HolderID
	for name, incarnation := range s.recorded {
		expected = append(expected, HolderID{Holder: name, Incarnation: incarnation})
	}
	primary.grantor.ExpectReclaims(primary.clock.read(s.real), expected)
}

// mayLease keeps the rule that a lease is granted only to a holder that the
// registry names. The newest primary alone can write there. It takes a new
// incarnation only from one that knows its term, and none that it saw replaced.
func (s *simulation) mayLease(index int, request Request) bool {
	held, known := s.recorded[request.Holder]
	if s.forgetful || known && held == request.Incarnation {
		return true
	}
	id := HolderID{Holder: request.Holder, Incarnation: request.Incarnation}
	newest := index == len(s.primaries)-1
	if newest && request.Term == s.newest().grantor.Term() && !s.superseded[id] {
		s.superseded[HolderID{Holder: request.Holder, Incarnation: held}] = true
		s.recorded[request.Holder] = request.Incarnation
	}
	return false
}

// refreshContact lets a primary learn that a majority answered a heartbeat: a
// moment that is not after now, and that only the newest primary can have.
func (s *simulation) refreshContact(index int) (time.Duration, bool) {
	primary := s.primaries[index]
	if index == len(s.primaries)-1 && s.choose(4) > 0 {
		lag := time.Duration(s.choose(300)) * time.Millisecond
		elected := primary.grantor.windowEnd - s.terms.GracePeriod()
		contact := primary.clock.read(s.real) - lag
		if contact >= elected && contact > primary.contact {
			primary.contact, primary.known = contact, true
		}
	}
	if s.blind {
		return primary.clock.read(s.real), true
	}
	return primary.contact, primary.known
}

func (s *simulation) restart(index int) {
	old := s.holders[index]
	s.holders[index] = &simulatedHolder{
		clock:       old.clock,
		holder:      NewHolder(s.terms),
		name:        old.name,
		incarnation: old.incarnation + 1,
	}
}

func (s *simulation) sendRenewal(index int) {
	h := s.holders[index]
	now := h.clock.read(s.real)
	request := Request{
		Holder:       h.name,
		Incarnation:  fmt.Sprint(h.incarnation),
		ActiveSerial: h.active,
		LeaseValid:   h.holder.Valid(now),
		Term:         h.holder.Term(),
	}
	for _, serial := range h.copies {
		request.ReceivedSerial = newerSerial(request.ReceivedSerial, serial)
	}
	if s.choose(40) == 0 {
		h.holder.Release()
		request.Release = true
	}
	target := len(s.primaries) - 1
	if s.choose(4) == 0 {
		target = s.choose(len(s.primaries))
	}
	s.renewals = append(s.renewals, renewal{holder: index, primary: target, sent: now, request: request})
	if request.Release {
		s.restart(index)
	}
}

func (s *simulation) receiveRenewal() {
	if len(s.renewals) == 0 {
		return
	}
	index := s.anyOf(len(s.renewals))
	message := s.renewals[index]
	if s.choose(5) > 0 { // else it stays to be received again
		s.renewals = append(s.renewals[:index], s.renewals[index+1:]...)
	}
	if s.choose(8) == 0 {
		return // lost
	}
	primary := s.primaries[message.primary]
	contact, known := s.refreshContact(message.primary)
	now := primary.clock.read(s.real)
	decision := primary.grantor.Renew(now, contact, known, message.request)
	if !decision.Authoritative {
		decision.ActivationSerial = 0
	}
	if !s.mayLease(message.primary, message.request) {
		decision.LeaseDuration = 0
	}
	var incarnation int
	fmt.Sscan(message.request.Incarnation, &incarnation)
	s.grants = append(s.grants, grant{
		holder: message.holder, incarnation: incarnation, term: primary.grantor.Term(),
		sent: message.sent, decision: decision, transfer: primary.grantor.serial,
	})
}

func (s *simulation) receiveGrant() {
	if len(s.grants) == 0 {
		return
	}
	index := s.anyOf(len(s.grants))
	message := s.grants[index]
	if s.choose(5) > 0 {
		s.grants = append(s.grants[:index], s.grants[index+1:]...)
	}
	h := s.holders[message.holder]
	if s.choose(8) == 0 || h.incarnation != message.incarnation {
		return
	}
	now := h.clock.read(s.real)
	length := message.decision.LeaseDuration
	if !message.decision.Authoritative {
		length = 0
	}
	if err := h.holder.HandleGrant(now, message.sent, message.term, "cluster", length); err != nil {
		return
	}
	if !message.decision.Authoritative {
		return
	}
	if length > 0 {
		s.granted++
	}
	h.copies = append(h.copies, message.transfer)
	h.activateUpTo(message.decision.ActivationSerial)
}

// hint is what a node that follows a primary tells a holder: the primary's term, and
// to one that holds nothing a table that is committed, though it may be old.
func (s *simulation) hint() {
	primary := s.primaries[s.choose(len(s.primaries))]
	h := s.holders[s.choose(len(s.holders))]
	if h.holder.Observe(primary.grantor.Term(), "cluster") != nil || len(h.copies) > 0 {
		return
	}
	age := uint32(s.choose(4))
	if age < s.serial {
		h.copies = append(h.copies, s.serial-age)
	}
}

// notify tells a holder an activation, whether it has a lease or not.
func (s *simulation) notify() {
	primary := s.primaries[s.choose(len(s.primaries))]
	h := s.holders[s.choose(len(s.holders))]
	if h.holder.Observe(primary.grantor.Term(), "cluster") != nil {
		return
	}
	h.activateUpTo(primary.grantor.ActivationSerial())
}

func (h *simulatedHolder) activateUpTo(activate uint32) {
	for _, serial := range h.copies {
		if !serialLess(activate, serial) && activate != 0 {
			h.active = newerSerial(h.active, serial)
		}
	}
}

// report lets a primary, leading or not, say what is in force.
func (s *simulation) report(index int) {
	primary := s.primaries[index]
	contact, known := s.refreshContact(index)
	if known {
		primary.grantor.SetQuorumContact(contact)
	}
	serial, sure := primary.grantor.SerialInForce()
	if sure && serialLess(s.inForce, serial) {
		s.inForce = serial
		s.advances++
		if primary.grantor.contact < primary.grantor.windowEnd {
			s.early++
		}
	}
}

func (s *simulation) check() error {
	for _, h := range s.holders {
		if h.holder.Valid(h.clock.read(s.real)) && serialLess(h.active, s.inForce) {
			return fmt.Errorf("%s holds a valid lease at serial %d after %d was reported in force", h.name, h.active, s.inForce)
		}
	}
	return nil
}

const (
	simulatedSteps    = 3000
	deterministicRuns = 1000
)

// TestNoValidHolderIsBehindWhatIsInForce is the invariant of the package over
// arbitrary schedules.
func TestNoValidHolderIsBehindWhatIsInForce(t *testing.T) {
	for seed := range uint64(deterministicRuns) {
		if violation := newSimulation(seededChooser(seed)).run(simulatedSteps); violation != nil {
			t.Fatalf("seed %d: %v", seed, violation)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if violation := newSimulation(seededChooser(seed)).run(simulatedSteps); violation != nil {
			t.Fatal(violation)
		}
	})
}

func seededChooser(seed uint64) chooser {
	return rand.New(rand.NewPCG(seed, 1)).IntN
}

func (s *simulation) run(steps int) error {
	for range steps {
		if violation := s.step(); violation != nil {
			return violation
		}
	}
	return nil
}

// TestSimulationMakesProgress keeps the invariant's test from passing because
// nothing is ever granted or reported.
func TestSimulationMakesProgress(t *testing.T) {
	granted, advances, elections, early := 0, 0, 0, 0
	for seed := range uint64(50) {
		s := newSimulation(seededChooser(seed))
		if violation := s.run(simulatedSteps); violation != nil {
			t.Fatalf("seed %d: %v", seed, violation)
		}
		granted += s.granted
		advances += s.advances
		elections += len(s.primaries)
		early += s.early
	}
	t.Logf("50 runs: %d leases granted, %d serials reported in force (%d before the window's end), %d primaries", granted, advances, early, elections)
	if granted < 500 || advances < 100 || elections < 200 || early < 20 {
		t.Fatalf("too little happened: %d leases, %d reports (%d early), %d primaries", granted, advances, early, elections)
	}
}

// TestSimulationFindsPlantedDefects shows that the invariant's test can fail.
func TestSimulationFindsPlantedDefects(t *testing.T) {
	defects := map[string]func(*simulation){
		"a new primary does not wait out older leases": func(s *simulation) {
			s.defect = func(g *Grantor) { g.windowEnd = g.windowEnd - s.terms.GracePeriod() }
		},
		"the margin does not cover the drift": func(s *simulation) {
			s.defect = func(g *Grantor) { g.terms.ClockDriftMargin = -100 * time.Millisecond }
		},
		"leadership is assumed without proof": func(s *simulation) {
			s.blind = true
		},
		"leases are granted to holders that no record names": func(s *simulation) {
			s.forgetful = true
		},
		"holders that are behind get leases": func(s *simulation) {
			s.defect = func(g *Grantor) { g.floor = 0 }
		},
	}
	const seeds = 4000
	for name, plant := range defects {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				s := newSimulation(seededChooser(seed))
				plant(s)
				if violation := s.run(simulatedSteps); violation != nil {
					t.Logf("seed %d: %v", seed, violation)
					return
				}
			}
			t.Fatalf("not found in %d runs", seeds)
		})
	}
}
