package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
)

// simulated is a replica in virtual time: cold until it has completed some
// requests of its incarnation.
type simulated struct {
	name         string
	incarnation  int
	sequence     uint64
	completed    int
	running      int
	unresponsive bool
}

const warmAfter = 40

func (s *simulated) cold() bool { return s.completed < warmAfter }

func (s *simulated) report() api.ReplicaReport {
	s.sequence++
	speed := 8000.0
	if s.cold() {
		speed = 2000
	}
	return api.ReplicaReport{
		Replica: s.name, Incarnation: fmt.Sprint(s.name, "/", s.incarnation), Service: "large",
		Running: s.running, Slots: 8, PrefillTokensPerSecond: speed,
		Cold: s.cold(), Sequence: s.sequence,
	}
}

func (s *simulated) restart() {
	s.incarnation++
	s.sequence, s.completed, s.running = 0, 0, 0
}

// simulation is a region with several gateways over the same replicas. Every
// gateway gets each plan after a delay of its own, as with leases.
type simulation struct {
	t        *testing.T
	random   *rand.Rand
	fleet    *fleet
	names    []string // of the gateways
	gateways map[string]*Router
	down     map[string]bool
	replicas []*simulated
	granted  map[string]int // by gateway
	due      []event
}

// event is an action at a moment of the virtual time.
type event struct {
	at     time.Time
	action func()
}

func newSimulation(t *testing.T, seed uint64, replicas int) *simulation {
	t.Helper()
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), fleet: newFleet(t),
		names:    []string{"g1", "g3", "g4"},
		gateways: map[string]*Router{}, down: map[string]bool{}, granted: map[string]int{},
	}
	s.fleet.set(catalog.ServiceRecord("large", catalog.Service{Kind: "model", MaxConcurrency: 8}))
	for _, name := range s.names {
		s.fleet.gateway(name, "east-a", "east", true)
		s.gateways[name] = newRouter("east", name)
	}
	for index := range replicas {
		name := fmt.Sprint("r", index)
		s.fleet.replica(name, "east-a", "east")
		s.replicas = append(s.replicas, &simulated{name: name})
	}
	s.activate()
	return s
}

// activate brings the present plan to every gateway, each at its own moment.
func (s *simulation) activate() {
	plan := s.fleet.plan()
	for _, name := range s.up() {
		router := s.gateways[name]
		if router.plan == nil {
			router.SetPlan(plan)
			continue
		}
		s.after(time.Duration(s.random.IntN(300))*time.Millisecond, func() { router.SetPlan(plan) })
	}
}

func (s *simulation) up() []string {
	return slices.DeleteFunc(slices.Clone(s.names), func(name string) bool { return s.down[name] })
}

func (s *simulation) after(delay time.Duration, action func()) {
	s.due = append(s.due, event{at: time.Now().Add(delay), action: action})
}

// elapse lets the virtual time pass and what falls due action in order.
func (s *simulation) elapse(step time.Duration) {
	time.Sleep(step)
	slices.SortStableFunc(s.due, func(a, b event) int { return a.at.Compare(b.at) })
	for len(s.due) > 0 && !s.due[0].at.After(time.Now()) {
		next := s.due[0]
		s.due = s.due[1:]
		next.action()
	}
}

// watch polls every replica from every gateway and applies the conditional
// updates, at most one a replica and round.
func (s *simulation) watch() {
	now := time.Now()
	changed := map[string]string{}
	for _, name := range s.up() {
		router := s.gateways[name]
		for _, replica := range s.replicas {
			if replica.unresponsive {
				router.RecordPollFailure(replica.name, now)
				continue
			}
			router.Observe(replica.name, replica.report(), now)
		}
		for _, change := range router.Conditions(now) {
			if !s.prerequisiteHolds(change.Replica, change.Old) {
				continue
			}
			if other, twice := changed[change.Replica]; twice {
				s.t.Errorf("%s and %s both watch %s", other, name, change.Replica)
			}
			changed[change.Replica] = name
			s.fleet.set(catalog.ConditionRecord(change.Replica, change.New))
		}
	}
	if len(changed) > 0 {
		s.activate()
	}
}

// prerequisiteHolds checks the prerequisite of a conditional update.
func (s *simulation) prerequisiteHolds(replica string, old *catalog.Condition) bool {
	present, ok := s.fleet.plan().Condition(replica)
	if old == nil {
		return !ok
	}
	return ok && present == *old
}

// sendRequest sends a request through a gateway if it gets a reservation.
func (s *simulation) sendRequest(gateway string, id int) {
	incoming := request(fmt.Sprint(gateway, "-", id))
	reservation, failure := s.gateways[gateway].Reserve(incoming)
	if failure != nil {
		return
	}
	s.granted[gateway]++
	index := slices.IndexFunc(s.replicas, func(r *simulated) bool { return r.name == reservation.Replica })
	replica := s.replicas[index]
	incarnation := replica.incarnation
	replica.running++
	s.checkSlowStart(replica, gateway)
	serviceTime := 300 * time.Millisecond
	if replica.cold() {
		serviceTime = time.Second
	}
	s.after(serviceTime, func() { s.finish(reservation, replica, incarnation) })
}

func (s *simulation) finish(reservation *Reservation, replica *simulated, incarnation int) {
	if replica.incarnation != incarnation || replica.unresponsive {
		reservation.Finish(ResultFailed, nil, time.Now())
		return
	}
	replica.running--
	replica.completed++
	reported := replica.report()
	reservation.RecordFirstToken(time.Now())
	reservation.Finish(ResultSuccess, &reported, time.Now())
}

// checkSlowStart checks that the requests in flight on a cold replica, from all
// gateways together, stay within the slow start that its completions allow. Step n
// needs n completions, so that after c of them the limit is at most 1 + the largest
// n with n(n+1)/2 <= c; one more request may be in flight.
func (s *simulation) checkSlowStart(replica *simulated, gateway string) {
	if !replica.cold() {
		return
	}
	step := math.Floor((math.Sqrt(8*float64(replica.completed)+1) - 1) / 2)
	if most := 2 + int(step); replica.running > most {
		s.t.Errorf("%s: %d in flight after %d completions, want at most %d (by %s)",
			replica.name, replica.running, replica.completed, most, gateway)
	}
}

// run sends requests from all gateways for a time, in rounds of 20 ms.
func (s *simulation) run(seconds float64, perRound int) {
	for round := range int(seconds * 50) {
		for _, name := range s.up() {
			for index := range perRound {
				s.sendRequest(name, s.random.Int()+index)
			}
		}
		if round%25 == 0 {
			s.watch()
		}
		s.elapse(20 * time.Millisecond)
	}
}

// TestWarmupLimitHoldsAcrossGateways starts a region with only cold replicas under
// overload, restarts replicas during their slow start and removes a warm-up gateway,
// with several seeds. No cold replica ever has more requests than its slow start
// allows, from all gateways together, and all become warm and used by every gateway.
func TestWarmupLimitHoldsAcrossGateways(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(t, seed, 3)
			s.run(6, 4)
			for range 3 {
				s.replicas[s.random.IntN(3)].restart()
				s.run(1+2*s.random.Float64(), 4)
			}
			s.down["g3"] = true
			s.fleet.gateway("g3", "east-a", "east", false)
			s.activate()
			s.run(25, 4)
			before := s.granted["g1"]
			s.run(2, 4)
			for _, replica := range s.replicas {
				condition, _ := s.fleet.plan().Condition(replica.name)
				if replica.cold() || condition.State != catalog.ConditionUp {
					t.Errorf("seed %d: %s ends %+v after %d completions", seed, replica.name, condition, replica.completed)
				}
			}
			if s.granted["g1"] == before || s.granted["g4"] == 0 {
				t.Errorf("seed %d: a gateway gets nothing: %v", seed, s.granted)
			}
		})
	}
}

// TestConditionHysteresis checks that a swing of the load and a single lost poll
// change no condition, that a replica that stays unresponsive is declared down, and
// that gateways that were frozen, or reach no replica, propose nothing.
func TestConditionHysteresis(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 1, 3)
		s.run(14, 2)
		if changes := s.writes(); len(changes) != 0 {
			t.Fatalf("pending writes %v", changes)
		}
		s.run(3, 8)
		s.replicas[0].unresponsive = true
		s.watch()
		s.replicas[0].unresponsive = false
		s.run(2, 1)
		if condition, _ := s.fleet.plan().Condition("r0"); condition.State != catalog.ConditionUp {
			t.Fatalf("one lost poll: %+v", condition)
		}
		s.replicas[0].unresponsive = true
		s.run(6, 1)
		if condition, _ := s.fleet.plan().Condition("r0"); condition.State != catalog.ConditionDown {
			t.Fatalf("6 s of silence: %+v", condition)
		}
		s.replicas[0].unresponsive = false
		s.run(3, 1)
		if condition, _ := s.fleet.plan().Condition("r0"); condition.State != catalog.ConditionUp {
			t.Fatalf("heard again: %+v", condition)
		}
		time.Sleep(25 * time.Second) // all gateways frozen
		if changes := s.writes(); len(changes) != 0 {
			t.Fatalf("after a freeze: %v", changes)
		}
		for _, replica := range s.replicas {
			replica.unresponsive = true
		}
		s.run(8, 1)
		for _, replica := range s.replicas {
			if condition, _ := s.fleet.plan().Condition(replica.name); condition.State != catalog.ConditionUp {
				t.Fatalf("a gateway that hears nobody wrote %+v", condition)
			}
		}
	})
}

func (s *simulation) writes() []ConditionChange {
	var changes []ConditionChange
	for _, name := range s.up() {
		changes = append(changes, s.gateways[name].Conditions(time.Now())...)
	}
	return changes
}
