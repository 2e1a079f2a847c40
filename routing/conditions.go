package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/failuredetector"
	"github.com/deckpulley/deckpulley/placement"
)

const (
	// upHold is how long a replica must be seen fit before it is written up
	// after another state: two reports at the default interval.
	upHold = 750 * time.Millisecond
	// downHold is how long it must be dead before it is written down.
	downHold = 2 * time.Second
	// startGrace is how long a replica may stay unheard after this gateway
	// learnt of it.
	startGrace = 3 * time.Second
	// emissionInterval is the time between two offers of the same change.
	emissionInterval = 400 * time.Millisecond
	// pauseGap between two calls of Conditions means that the process stood
	// still, and pauseRest is how long it then says nothing.
	pauseGap  = 3 * time.Second
	pauseRest = 2 * time.Second
)

// ConditionChange is one slow fact to be written: a conditional update that
// requires Old (nil for absent) and sets New.
type ConditionChange struct {
	Replica string
	Old     *catalog.Condition
	New     catalog.Condition
}

// emission is the last change offered for a replica.
type emission struct {
	condition catalog.Condition
	at        time.Time
}

// Conditions lists the slow facts that this gateway, as the one watcher of a
// replica, sees differently from the active plan. A change is offered again
// until the plan shows it. It must be called about as often as replicas are
// polled: a longer gap counts as a pause of this process.
func (r *Router) Conditions(now time.Time) []ConditionChange {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.plan == nil {
		return nil
	}
	if r.paused(now) {
		return nil
	}
	var changes []ConditionChange
	for _, target := range r.replicas {
		if change, ok := target.change(now); ok {
			changes = append(changes, change)
		}
	}
	slices.SortFunc(changes, func(a, b ConditionChange) int {
		return strings.Compare(a.Replica, b.Replica)
	})
	return changes
}

// paused reports whether this process did not run for a while, as when it was
// frozen: what it then takes for the silence of replicas is its own. It says
// nothing until the polls have had time to be answered again.
func (r *Router) paused(now time.Time) bool {
	gap := now.Sub(r.lastConditions)
	if !r.lastConditions.IsZero() && gap >= pauseGap {
		r.resumed = now
	}
	r.lastConditions = now
	return !r.resumed.IsZero() && now.Sub(r.resumed) < pauseRest
}

// hearsAny reports whether any replica of the region is heard. A gateway that
// hears none of several may be cut off itself, and declares none down.
func (r *Router) hearsAny(now time.Time) bool {
	if len(r.replicas) == 1 {
		return true
	}
	for _, target := range r.replicas {
		if target.reported && target.watch.State(now) == failuredetector.Alive {
			return true
		}
	}
	return false
}

// change compares the plan's condition with the one seen.
func (t *replica) change(now time.Time) (ConditionChange, bool) {
	seen, ok := t.seen(now)
	if !t.watched || !ok || (t.conditioned && t.condition == seen) {
		return ConditionChange{}, false
	}
	offered := t.emitted.condition == seen && now.Sub(t.emitted.at) < emissionInterval
	if offered && !t.emitted.at.IsZero() {
		return ConditionChange{}, false
	}
	t.emitted = emission{condition: seen, at: now}
	change := ConditionChange{Replica: t.name, New: seen}
	if t.conditioned {
		old := t.condition
		change.Old = &old
	}
	return change, true
}

// seen is the condition as this gateway sees it, with hysteresis; false while
// nothing can be said.
func (t *replica) seen(now time.Time) (catalog.Condition, bool) {
	state, ok := t.stateSeen(now)
	if !ok {
		return catalog.Condition{}, false
	}
	state = t.fact.Observe(now, state, holdOf(state))
	if state == catalog.ConditionDown {
		return t.seenDown(now)
	}
	condition := catalog.Condition{State: state, Incarnation: t.report.Incarnation}
	if state == catalog.ConditionWarmingUp {
		condition.WarmupGateway = t.feeder()
		return condition, condition.WarmupGateway != ""
	}
	return condition, true
}

// seenDown keeps a condition that says down already as it is.
func (t *replica) seenDown(now time.Time) (catalog.Condition, bool) {
	if t.conditioned && t.condition.State == catalog.ConditionDown {
		return t.condition, true
	}
	down := catalog.Condition{State: catalog.ConditionDown, Incarnation: t.report.Incarnation}
	return down, t.service.router.hearsAny(now)
}

func (t *replica) stateSeen(now time.Time) (catalog.ConditionState, bool) {
	dead := t.watch.State(now) == failuredetector.Dead
	switch {
	case dead && (t.reported || now.Sub(t.created) >= startGrace):
		return catalog.ConditionDown, true
	case !t.reported || t.unknown || dead:
		return "", false
	case t.report.Draining || t.service.router.plan.IsDraining(t.name):
		return catalog.ConditionDraining, true
	case t.report.Cold:
		return catalog.ConditionWarmingUp, true
	default:
		return catalog.ConditionUp, true
	}
}

// holdOf is the time that a state must be seen before it replaces another.
// States that take work away at once do no harm; those that give it back wait.
func holdOf(state catalog.ConditionState) time.Duration {
	switch state {
	case catalog.ConditionUp:
		return upHold
	case catalog.ConditionDown:
		return downHold
	default:
		return 0
	}
}

// feeder names the one gateway that may place on the replica while it is cold.
// It stays as long as it may feed; else rendezvous names the next.
func (t *replica) feeder() string {
	feeders := t.service.router.feeders
	if t.conditioned && t.condition.WarmupGateway != "" && slices.Contains(feeders, t.condition.WarmupGateway) {
		return t.condition.WarmupGateway
	}
	return placement.Owner(feederKey+t.name, feeders)
}

// feederKey keeps the choice of the feeder apart from that of the watcher.
const feederKey = "feeder/"

// WarmupGateways names the other gateways of the own region that may place requests
// for a service on cold replicas, sorted. A gateway whose region has nothing
// but cold replicas of other feeders offers its requests to these.
func (r *Router) WarmupGateways(name string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	target := r.services[name]
	if target == nil {
		return nil
	}
	var feeders []string
	for _, replica := range target.replicas {
		feeder := replica.condition.WarmupGateway
		cold := replica.allowed && replica.conditioned && replica.condition.State == catalog.ConditionWarmingUp
		if !cold || feeder == r.config.Gateway || slices.Contains(feeders, feeder) {
			continue
		}
		feeders = append(feeders, feeder)
	}
	slices.Sort(feeders)
	return feeders
}
