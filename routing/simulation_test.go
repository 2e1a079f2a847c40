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

// simulatedReplica is a replica in virtual time. Each incarnation is cold until it has
// completed warmAfterCompletions requests.
type simulatedReplica struct {
	name         string
	incarnation  int
	sequence     uint64
	completed    int
	running      int
	unresponsive bool
}

// warmAfterCompletions is the number of completed requests after which a replica is warm.
const warmAfterCompletions = 40

func (s *simulatedReplica) cold() bool { return s.completed < warmAfterCompletions }

func (s *simulatedReplica) report() api.ReplicaReport {
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

// restart replaces the incarnation by a cold one that runs no requests.
func (s *simulatedReplica) restart() {
	s.incarnation++
	s.sequence, s.completed, s.running = 0, 0, 0
}

// simulation is a region with several gateways that share its replicas. Each gateway
// activates a new plan after a delay of its own, as it does in a real fleet.
type simulation struct {
	t        *testing.T
	random   *rand.Rand
	fleet    *fleet
	names    []string // of the gateways
	gateways map[string]*Router
	down     map[string]bool
	replicas []*simulatedReplica
	granted  map[string]int // by gateway
	due      []event
}

// event is an action that is due at a virtual time.
type event struct {
	at     time.Time
	action func()
}

// newSimulation returns a region with three gateways and the given number of replicas.
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
		s.replicas = append(s.replicas, &simulatedReplica{name: name})
	}
	s.activate()
	return s
}

// activate distributes the current plan to all gateways, to each after a random delay. A
// gateway without a plan gets it immediately.
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

// up returns the names of the gateways that are up.
func (s *simulation) up() []string {
	return slices.DeleteFunc(slices.Clone(s.names), func(name string) bool { return s.down[name] })
}

// after schedules an action after a delay.
func (s *simulation) after(delay time.Duration, action func()) {
	s.due = append(s.due, event{at: time.Now().Add(delay), action: action})
}

// advance advances the virtual time by one step and runs the events that are due, in order.
func (s *simulation) advance(step time.Duration) {
	time.Sleep(step)
	slices.SortStableFunc(s.due, func(a, b event) int { return a.at.Compare(b.at) })
	for len(s.due) > 0 && !s.due[0].at.After(time.Now()) {
		next := s.due[0]
		s.due = s.due[1:]
		next.action()
	}
}

// pollAndApplyConditions polls every replica from every gateway and applies the condition
// changes that the gateways propose. No two gateways may change the same replica.
func (s *simulation) pollAndApplyConditions() {
	now := time.Now()
	changed := map[string]string{}
	for _, name := range s.up() {
		router := s.gateways[name]
		for _, replica := range s.replicas {
			if replica.unresponsive {
				router.RecordPollFailure(replica.name, now)
				continue
			}
			router.RecordReport(replica.name, replica.report(), now)
		}
		for _, change := range router.ProposeConditions(now) {
			if !s.prerequisiteSatisfied(change.Replica, change.Old) {
				continue
			}
			if other, twice := changed[change.Replica]; twice {
				s.t.Errorf("gateways %s and %s both propose a condition of replica %s", other, name, change.Replica)
			}
			changed[change.Replica] = name
			s.fleet.set(catalog.ConditionRecord(change.Replica, change.New))
		}
	}
	if len(changed) > 0 {
		s.activate()
	}
}

// prerequisiteSatisfied reports whether the current plan has the old condition that a
// change requires.
func (s *simulation) prerequisiteSatisfied(replica string, old *catalog.Condition) bool {
	present, ok := s.fleet.plan().Condition(replica)
	if old == nil {
		return !ok
	}
	return ok && present == *old
}

// sendRequest runs a request through a gateway if the gateway grants a reservation.
func (s *simulation) sendRequest(gateway string, id int) {
	incoming := request(fmt.Sprint(gateway, "-", id))
	reservation, failure := s.gateways[gateway].Reserve(incoming)
	if failure != nil {
		return
	}
	s.granted[gateway]++
	index := slices.IndexFunc(s.replicas, func(r *simulatedReplica) bool { return r.name == reservation.Replica })
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

// finish ends a request, which fails if its replica has restarted or is unresponsive.
func (s *simulation) finish(reservation *Reservation, replica *simulatedReplica, incarnation int) {
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

// checkSlowStart checks that a cold replica has no more requests in flight, from all
// gateways together, than its slow start allows. Step n of the slow start ends after n
// completions, so the limit after c completions is at most 1 plus the largest n with
// n(n+1)/2 <= c. One request beyond the limit is tolerated.
func (s *simulation) checkSlowStart(replica *simulatedReplica, gateway string) {
	if !replica.cold() {
		return
	}
	step := math.Floor((math.Sqrt(8*float64(replica.completed)+1) - 1) / 2)
	if most := 2 + int(step); replica.running > most {
		s.t.Errorf("replica %s has %d requests in flight after %d completions, want at most %d (last one sent by %s)",
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
			s.pollAndApplyConditions()
		}
		s.advance(20 * time.Millisecond)
	}
}

// TestWarmupLimitAppliesAcrossGateways checks that no cold replica has more requests in
// flight from all gateways together than its slow start allows, and that all replicas
// become warm and are used by every gateway. The region is overloaded and starts with cold
// replicas only; replicas restart during their slow start, and one gateway goes down. The
// test runs with several seeds.
func TestWarmupLimitAppliesAcrossGateways(t *testing.T) {
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
					t.Errorf("seed %d: replica %s ends with condition %+v after %d completions, want it warm and up", seed, replica.name, condition, replica.completed)
				}
			}
			if s.granted["g1"] == before || s.granted["g4"] == 0 {
				t.Errorf("seed %d: a gateway was granted no reservations; reservations by gateway: %v", seed, s.granted)
			}
		})
	}
}

// TestConditionHysteresis checks that a change of the load and a single failed poll change
// no condition, that a replica that stays unresponsive is declared down, and that gateways
// that were paused, or that reach no replica, propose no change.
func TestConditionHysteresis(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 1, 3)
		s.run(14, 2)
		if changes := s.proposedConditions(); len(changes) != 0 {
			t.Fatalf("changes proposed in a steady state: %v", changes)
		}
		s.run(3, 8)
		s.replicas[0].unresponsive = true
		s.pollAndApplyConditions()
		s.replicas[0].unresponsive = false
		s.run(2, 1)
		if condition, _ := s.fleet.plan().Condition("r0"); condition.State != catalog.ConditionUp {
			t.Fatalf("after one failed poll: got condition %+v, want up", condition)
		}
		s.replicas[0].unresponsive = true
		s.run(6, 1)
		if condition, _ := s.fleet.plan().Condition("r0"); condition.State != catalog.ConditionDown {
			t.Fatalf("after 6 s without a response: got condition %+v, want down", condition)
		}
		s.replicas[0].unresponsive = false
		s.run(3, 1)
		if condition, _ := s.fleet.plan().Condition("r0"); condition.State != catalog.ConditionUp {
			t.Fatalf("after the replica responds again: got condition %+v, want up", condition)
		}
		time.Sleep(25 * time.Second) // all gateways are paused
		if changes := s.proposedConditions(); len(changes) != 0 {
			t.Fatalf("changes proposed after a pause: %v", changes)
		}
		for _, replica := range s.replicas {
			replica.unresponsive = true
		}
		s.run(8, 1)
		for _, replica := range s.replicas {
			if condition, _ := s.fleet.plan().Condition(replica.name); condition.State != catalog.ConditionUp {
				t.Fatalf("gateways that reach no replica changed a condition to %+v", condition)
			}
		}
	})
}

// proposedConditions returns the changes that the gateways propose now.
func (s *simulation) proposedConditions() []ConditionChange {
	var changes []ConditionChange
	for _, name := range s.up() {
		changes = append(changes, s.gateways[name].ProposeConditions(time.Now())...)
	}
	return changes
}
