package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The simulation runs primaries and holders in simulated time. Each process reads it only
// through a clock of its own, with an offset and a drift. Primaries may be deposed without
// knowing it. Messages are delayed, reordered, lost and duplicated.

const (
	simulatedHolders = 3
	// The rates of the clocks are within 3% of true time, so that the drift between two
	// of them is less than ClockDriftMargin over a lease: 1800 ms * 1.03/0.97 is 1911 ms.
	slowestClock = 0.97
	fastestClock = 1.03
)

// chooser returns a number in [0, n).
type chooser func(n int) int

// clock is the monotonic clock of one process.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) read(trueTime time.Duration) time.Duration {
	return c.offset + time.Duration(float64(trueTime)*c.rate)
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
	// quorumContact is a time on this primary's clock. It no longer changes once the next
	// primary has been elected, which this one may not know.
	quorumContact      time.Duration
	quorumContactKnown bool
}

type simulatedHolder struct {
	clock           clock
	holder          *Holder
	name            string
	incarnation     int
	receivedSerials []uint32
	activeSerial    uint32
}

type renewal struct {
	holder  int
	primary int
	sent    time.Duration // on the holder's clock
	request RenewalRequest
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
	config    Config
	trueTime  time.Duration
	serial    uint32 // newest committed serial
	primaries []*simulatedPrimary
	holders   []*simulatedHolder
	renewals  []renewal
	grants    []grant
	inForce   uint32 // newest serial that any primary returned as in force
	// registered simulates the registry's record of the incarnation of each holder that
	// may have a lease. superseded has the incarnations that the newest primary has
	// replaced in that record.
	registered map[string]string
	superseded map[HolderID]bool

	granted         int // number of leases granted
	advances        int // number of increases of inForce
	earlyAdvances   int // number of these before the regular end of the grace period
	grantorDefect   func(*Grantor)
	ignoresContact  bool // injected defect: the quorum contact is taken to be the current time
	ignoresRegistry bool // injected defect: leases are granted to holders that are not registered
}

func newSimulation(choose chooser) *simulation {
	s := &simulation{choose: choose, config: DefaultConfig(), serial: 1, registered: make(map[string]string)}
	for i := range simulatedHolders {
		s.holders = append(s.holders, &simulatedHolder{
			clock:  chooseClock(choose),
			holder: NewHolder(s.config),
			name:   fmt.Sprint("gateway-", i),
		})
	}
	return s
}

func (s *simulation) newest() *simulatedPrimary { return s.primaries[len(s.primaries)-1] }

// step performs one random action and returns a violation of the invariant, if any.
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
			s.sendFirstTable()
		} else {
			s.sendActivation()
		}
	case 3, 4:
		s.trueTime += time.Duration(1+s.choose(s.maxPauseMilliseconds())) * time.Millisecond
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
		s.readSerialInForce(s.choose(len(s.primaries)))
	}
	return s.check()
}

// maxPauseMilliseconds returns the maximum duration of the next pause. It is mostly short,
// so that leases are renewed in time, and sometimes long.
func (s *simulation) maxPauseMilliseconds() int {
	if s.choose(5) == 0 {
		return 900
	}
	return 120
}

// pickInFlight picks one of n messages in flight, with a preference for newer ones.
func (s *simulation) pickInFlight(n int) int {
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

// elect adds a new primary. The previous one continues, but gets no new quorum contacts.
func (s *simulation) elect() {
	primary := &simulatedPrimary{clock: chooseClock(s.choose)}
	term := uint64(len(s.primaries) + 1)
	primary.grantor = NewGrantor(s.config, term, primary.clock.read(s.trueTime), s.serial)
	if s.grantorDefect != nil {
		s.grantorDefect(primary.grantor)
	}
	s.primaries = append(s.primaries, primary)
	s.superseded = make(map[HolderID]bool)
	if s.choose(4) == 0 {
		return // the new primary waits for the whole grace period
	}
	var expected []HolderID
	for name, incarnation := range s.registered {
		expected = append(expected, HolderID{Holder: name, Incarnation: incarnation})
	}
	primary.grantor.ExpectReclaims(primary.clock.read(s.trueTime), expected)
}

// checkAndRegister enforces the rule that a lease is granted only to a registered holder.
// It reports whether the holder's incarnation was registered already. If it was not, the
// newest primary registers it, but only if the holder knows the primary's term and the
// incarnation has not been superseded. Other primaries cannot change the registry.
func (s *simulation) checkAndRegister(index int, request RenewalRequest) bool {
	incarnation, known := s.registered[request.Holder]
	if s.ignoresRegistry || known && incarnation == request.Incarnation {
		return true
	}
	id := HolderID{Holder: request.Holder, Incarnation: request.Incarnation}
	newest := index == len(s.primaries)-1
	if newest && request.Term == s.newest().grantor.Term() && !s.superseded[id] {
		s.superseded[HolderID{Holder: request.Holder, Incarnation: incarnation}] = true
		s.registered[request.Holder] = request.Incarnation
	}
	return false
}

// refreshQuorumContact returns a primary's quorum contact. At the newest primary, it may
// first advance it to a time that is not in the future.
func (s *simulation) refreshQuorumContact(index int) (time.Duration, bool) {
	primary := s.primaries[index]
	if index == len(s.primaries)-1 && s.choose(4) > 0 {
		lag := time.Duration(s.choose(300)) * time.Millisecond
		elected := primary.grantor.gracePeriodEnd - s.config.GracePeriod()
		contact := primary.clock.read(s.trueTime) - lag
		if contact >= elected && contact > primary.quorumContact {
			primary.quorumContact, primary.quorumContactKnown = contact, true
		}
	}
	if s.ignoresContact {
		return primary.clock.read(s.trueTime), true
	}
	return primary.quorumContact, primary.quorumContactKnown
}

func (s *simulation) restart(index int) {
	old := s.holders[index]
	s.holders[index] = &simulatedHolder{
		clock:       old.clock,
		holder:      NewHolder(s.config),
		name:        old.name,
		incarnation: old.incarnation + 1,
	}
}

func (s *simulation) sendRenewal(index int) {
	h := s.holders[index]
	now := h.clock.read(s.trueTime)
	request := RenewalRequest{
		Holder:       h.name,
		Incarnation:  fmt.Sprint(h.incarnation),
		ActiveSerial: h.activeSerial,
		LeaseValid:   h.holder.Valid(now),
		Term:         h.holder.Term(),
	}
	for _, serial := range h.receivedSerials {
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
	index := s.pickInFlight(len(s.renewals))
	message := s.renewals[index]
	if s.choose(5) > 0 { // otherwise the message is duplicated
		s.renewals = append(s.renewals[:index], s.renewals[index+1:]...)
	}
	if s.choose(8) == 0 {
		return // the message is lost
	}
	primary := s.primaries[message.primary]
	contact, known := s.refreshQuorumContact(message.primary)
	now := primary.clock.read(s.trueTime)
	decision := primary.grantor.Renew(now, contact, known, message.request)
	if !decision.QuorumConfirmed {
		decision.ActivationSerial = 0
	}
	if !s.checkAndRegister(message.primary, message.request) {
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
	index := s.pickInFlight(len(s.grants))
	message := s.grants[index]
	if s.choose(5) > 0 {
		s.grants = append(s.grants[:index], s.grants[index+1:]...)
	}
	h := s.holders[message.holder]
	if s.choose(8) == 0 || h.incarnation != message.incarnation {
		return
	}
	now := h.clock.read(s.trueTime)
	duration := message.decision.LeaseDuration
	if !message.decision.QuorumConfirmed {
		duration = 0
	}
	if err := h.holder.HandleGrant(now, message.sent, message.term, "cluster", duration); err != nil {
		return
	}
	if !message.decision.QuorumConfirmed {
		return
	}
	if duration > 0 {
		s.granted++
	}
	h.receivedSerials = append(h.receivedSerials, message.transfer)
	h.activateUpTo(message.decision.ActivationSerial)
}

// sendFirstTable simulates a reply from a follower of a primary to a holder. It contains
// the primary's term and, if the holder has not received a table yet, a committed table,
// which may be old.
func (s *simulation) sendFirstTable() {
	primary := s.primaries[s.choose(len(s.primaries))]
	h := s.holders[s.choose(len(s.holders))]
	if h.holder.Observe(primary.grantor.Term(), "cluster") != nil || len(h.receivedSerials) > 0 {
		return
	}
	age := uint32(s.choose(4))
	if age < s.serial {
		h.receivedSerials = append(h.receivedSerials, s.serial-age)
	}
}

// sendActivation sends a holder the activation serial of a primary, whether the holder has
// a lease or not.
func (s *simulation) sendActivation() {
	primary := s.primaries[s.choose(len(s.primaries))]
	h := s.holders[s.choose(len(s.holders))]
	if h.holder.Observe(primary.grantor.Term(), "cluster") != nil {
		return
	}
	h.activateUpTo(primary.grantor.ActivationSerial())
}

func (h *simulatedHolder) activateUpTo(activation uint32) {
	for _, serial := range h.receivedSerials {
		if !serialLess(activation, serial) && activation != 0 {
			h.activeSerial = newerSerial(h.activeSerial, serial)
		}
	}
}

// readSerialInForce reads the serial in force from a primary, which may be deposed.
func (s *simulation) readSerialInForce(index int) {
	primary := s.primaries[index]
	if contact, known := s.refreshQuorumContact(index); known {
		primary.grantor.SetQuorumContact(contact)
	}
	serial, known := primary.grantor.SerialInForce()
	if known && serialLess(s.inForce, serial) {
		s.inForce = serial
		s.advances++
		if primary.grantor.quorumContact < primary.grantor.gracePeriodEnd {
			s.earlyAdvances++
		}
	}
}

// check returns a violation of the package's invariant, if any.
func (s *simulation) check() error {
	for _, h := range s.holders {
		if h.holder.Valid(h.clock.read(s.trueTime)) && serialLess(h.activeSerial, s.inForce) {
			return fmt.Errorf("%s has a valid lease with active serial %d after serial %d was returned as in force", h.name, h.activeSerial, s.inForce)
		}
	}
	return nil
}

const (
	simulatedSteps    = 3000
	deterministicRuns = 1000
)

// TestValidHolderIsNotBehindSerialInForce checks the invariant of the package in
// simulations with random schedules.
func TestValidHolderIsNotBehindSerialInForce(t *testing.T) {
	for seed := range uint64(deterministicRuns) {
		if violation := newSimulation(seededChooser(seed)).run(); violation != nil {
			t.Fatalf("seed %d: %v", seed, violation)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if violation := newSimulation(seededChooser(seed)).run(); violation != nil {
			t.Fatal(violation)
		}
	})
}

func seededChooser(seed uint64) chooser {
	return rand.New(rand.NewPCG(seed, 1)).IntN
}

// run performs all steps and returns the first violation of the invariant, or nil.
func (s *simulation) run() error {
	for range simulatedSteps {
		if violation := s.step(); violation != nil {
			return violation
		}
	}
	return nil
}

// TestSimulationMakesProgress checks that the simulation grants leases and increases the
// serial in force often enough for the test of the invariant to be meaningful.
func TestSimulationMakesProgress(t *testing.T) {
	granted, advances, elections, early := 0, 0, 0, 0
	for seed := range uint64(50) {
		s := newSimulation(seededChooser(seed))
		if violation := s.run(); violation != nil {
			t.Fatalf("seed %d: %v", seed, violation)
		}
		granted += s.granted
		advances += s.advances
		elections += len(s.primaries)
		early += s.earlyAdvances
	}
	t.Logf("50 runs: %d leases granted, %d increases of the serial in force (%d before the end of the grace period), %d primaries", granted, advances, early, elections)
	if granted < 500 || advances < 100 || elections < 200 || early < 20 {
		t.Fatalf("the simulation makes too little progress: %d leases, %d increases of the serial in force (%d before the end of the grace period), %d primaries", granted, advances, early, elections)
	}
}

// TestSimulationDetectsInjectedDefects checks that the simulation detects violations of the
// invariant that injected defects cause.
func TestSimulationDetectsInjectedDefects(t *testing.T) {
	defects := map[string]func(*simulation){
		"no grace period": func(s *simulation) {
			s.grantorDefect = func(g *Grantor) { g.gracePeriodEnd -= s.config.GracePeriod() }
		},
		"the margin is smaller than the clock drift": func(s *simulation) {
			s.grantorDefect = func(g *Grantor) { g.config.ClockDriftMargin = -100 * time.Millisecond }
		},
		"the quorum contact is ignored": func(s *simulation) {
			s.ignoresContact = true
		},
		"leases are granted to unregistered holders": func(s *simulation) {
			s.ignoresRegistry = true
		},
		"leases are granted to holders with an older active serial": func(s *simulation) {
			s.grantorDefect = func(g *Grantor) { g.electionSerial = 0 }
		},
	}
	const seeds = 4000
	for name, inject := range defects {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				s := newSimulation(seededChooser(seed))
				inject(s)
				if violation := s.run(); violation != nil {
					t.Logf("seed %d: %v", seed, violation)
					return
				}
			}
			t.Fatalf("the defect was not detected in %d runs", seeds)
		})
	}
}
