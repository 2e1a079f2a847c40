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
	name        string
	incarnation int
	sequence    uint64
	completed   int
	running     int
	silent      bool
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

// event is something that happens at a moment of the virtual time.
type event struct {
	at     time.Time
	happen func()
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

func (s *simulation) after(delay time.Duration, happen func()) {
	s.due = append(s.due, event{at: time.Now().Add(delay), happen: happen})
}

// elapse lets the virtual time pass and what falls due happen in order.
func (s *simulation) elapse(step time.Duration) {
	time.Sleep(step)
	slices.SortStableFunc(s.due, func(a, b event) int { return a.at.Compare(b.at) })
	for len(s.due) > 0 && !s.due[0].at.After(time.Now()) {
		next := s.due[0]
		s.due = s.due[1:]
		next.happen()
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
			if replica.silent {
				router.RecordPollFailure(replica.name, now)
				continue
			}
			router.Observe(replica.name, replica.report(), now)
		}
		for _, change := range router.Conditions(now) {
			if !s.holds(change.Replica, change.Old) {
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

// holds is the prerequisite of a conditional update.
func (s *simulation) holds(replica string, old *catalog.Condition) bool {
	present, ok := s.fleet.plan().Condition(replica)
	if old == nil {
		return !ok
	}
	return ok && present == *old
}

// offer sends a request through a gateway if it finds a slot.
func (s *simulation) offer(gateway string, id int) {
	asked := request(fmt.Sprint(gateway, "-", id))
	slot, failure := s.gateways[gateway].Reserve(asked)
	if failure != nil {
		return
	}
	s.granted[gateway]++
	index := slices.IndexFunc(s.replicas, func(r *simulated) bool { return r.name == slot.Replica })
	replica := s.replicas[index]
	incarnation := replica.incarnation
	replica.running++
	s.checkRamp(replica, gateway)
	hold := 300 * time.Millisecond
	if replica.cold() {
		hold = time.Second
	}
	s.after(hold, func() { s.finish(slot, replica, incarnation) })
}

func (s *simulation) finish(slot *Reservation, replica *simulated, incarnation int) {
	if replica.incarnation != incarnation || replica.silent {
		slot.Finish(ResultFailed, nil, time.Now())
		return
	}
	replica.running--
	replica.completed++
	told := replica.report()
	slot.RecordFirstToken(time.Now())
	slot.Finish(ResultSuccess, &told, time.Now())
}

// checkRamp is the promise: the work in flight on a cold replica, from all
// gateways together, stays under the ramp that its completed requests allow.
// Each step n of the ramp needs n completions, so after c of them it stands at
// most at 1 + the largest n with n(n+1)/2 <= c; another may be under way.
func (s *simulation) checkRamp(replica *simulated, gateway string) {
	if !replica.cold() {
		return
	}
	step := math.Floor((math.Sqrt(8*float64(replica.completed)+1) - 1) / 2)
	if most := 2 + int(step); replica.running > most {
		s.t.Errorf("%s: %d in flight after %d completions, want at most %d (by %s)",
			replica.name, replica.running, replica.completed, most, gateway)
	}
}

// run offers requests from all gateways for a time, in rounds of 20 ms.
func (s *simulation) run(seconds float64, perRound int) {
	for round := range int(seconds * 50) {
		for _, name := range s.up() {
			for index := range perRound {
				s.offer(name, s.random.Int()+index)
			}
		}
		if round%25 == 0 {
			s.watch()
		}
		s.elapse(20 * time.Millisecond)
	}
}

// TestColdReplicasAreNeverFlooded returns a whole region cold into a crowd,
// restarts replicas in the middle of their ramps and takes feeders away, with
// several seeds. No cold replica ever has more than its ramp, from all gateways
// together, and all become warm and used by every gateway.
func TestColdReplicasAreNeverFlooded(t *testing.T) {
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

// TestConditionsAreSteady lets a load swing and a single lost poll pass without
// a write, a death be written once the silence has lasted, and a gateway that
// was frozen itself keep quiet.
func TestConditionsAreSteady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 1, 3)
		s.run(14, 2)
		if changes := s.writes(); len(changes) != 0 {
			t.Fatalf("pending writes %v", changes)
		}
		s.run(3, 8)
		s.replicas[0].silent = true
		s.watch()
		s.replicas[0].silent = false
		s.run(2, 1)
		if condition, _ := s.fleet.plan().Condition("r0"); condition.State != catalog.ConditionUp {
			t.Fatalf("one lost poll: %+v", condition)
		}
		s.replicas[0].silent = true
		s.run(6, 1)
		if condition, _ := s.fleet.plan().Condition("r0"); condition.State != catalog.ConditionDown {
			t.Fatalf("6 s of silence: %+v", condition)
		}
		s.replicas[0].silent = false
		s.run(3, 1)
		if condition, _ := s.fleet.plan().Condition("r0"); condition.State != catalog.ConditionUp {
			t.Fatalf("heard again: %+v", condition)
		}
		time.Sleep(25 * time.Second) // all gateways frozen
		if changes := s.writes(); len(changes) != 0 {
			t.Fatalf("after a freeze: %v", changes)
		}
		for _, replica := range s.replicas {
			replica.silent = true
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
