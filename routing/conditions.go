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
	// upHoldTime is how long a replica must be seen fit before it is written up
	// after another state: two reports at the default interval.
	upHoldTime = 750 * time.Millisecond
	// downHoldTime is how long it must be dead before it is written down.
	downHoldTime = 2 * time.Second
	// startGracePeriod is how long a replica may stay unheard after this gateway
	// learnt of it.
	startGracePeriod = 3 * time.Second
	// proposalInterval is the time between two offers of the same change.
	proposalInterval = 400 * time.Millisecond
	// processPauseThreshold between two calls of Conditions means that the process stood
	// still, and pauseRest is how long it then says nothing.
	processPauseThreshold  = 3 * time.Second
	processPauseRecovery = 2 * time.Second
)

// ConditionChange is one slow fact to be written: a conditional update that
// requires Old (nil for absent) and sets New.
type ConditionChange struct {
	Replica string
	Old     *catalog.Condition
	New     catalog.Condition
}

// proposal is the last change offered for a replica.
type proposal struct {
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
		if change, ok := target.proposeCondition(now); ok {
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
	if !r.lastConditions.IsZero() && gap >= processPauseThreshold {
		r.resumed = now
	}
	r.lastConditions = now
	return !r.resumed.IsZero() && now.Sub(r.resumed) < processPauseRecovery
}

// anyReplicaAlive reports whether any replica of the region is heard. A gateway that
// hears none of several may be cut off itself, and declares none down.
func (r *Router) anyReplicaAlive(now time.Time) bool {
	if len(r.replicas) == 1 {
		return true
	}
	for _, target := range r.replicas {
		if target.reported && target.detector.State(now) == failuredetector.Alive {
			return true
		}
	}
	return false
}

// proposeCondition compares the plan's condition with the one seen.
func (t *replica) proposeCondition(now time.Time) (ConditionChange, bool) {
	seen, ok := t.observedCondition(now)
	if !t.isWatcher || !ok || (t.conditioned && t.condition == seen) {
		return ConditionChange{}, false
	}
	offered := t.lastProposal.condition == seen && now.Sub(t.lastProposal.at) < proposalInterval
	if offered && !t.lastProposal.at.IsZero() {
		return ConditionChange{}, false
	}
	t.lastProposal = proposal{condition: seen, at: now}
	change := ConditionChange{Replica: t.name, New: seen}
	if t.conditioned {
		old := t.condition
		change.Old = &old
	}
	return change, true
}

// observedCondition is the condition as this gateway sees it, with hysteresis; false while
// nothing can be said.
func (t *replica) observedCondition(now time.Time) (catalog.Condition, bool) {
	state, ok := t.observedState(now)
	if !ok {
		return catalog.Condition{}, false
	}
	state = t.conditionHysteresis.Observe(now, state, holdTime(state))
	if state == catalog.ConditionDown {
		return t.observedDown(now)
	}
	condition := catalog.Condition{State: state, Incarnation: t.report.Incarnation}
	if state == catalog.ConditionWarmingUp {
		condition.WarmupGateway = t.warmupGateway()
		return condition, condition.WarmupGateway != ""
	}
	return condition, true
}

// observedDown keeps a condition that says down already as it is.
func (t *replica) observedDown(now time.Time) (catalog.Condition, bool) {
	if t.conditioned && t.condition.State == catalog.ConditionDown {
		return t.condition, true
	}
	down := catalog.Condition{State: catalog.ConditionDown, Incarnation: t.report.Incarnation}
	return down, t.service.router.anyReplicaAlive(now)
}

func (t *replica) observedState(now time.Time) (catalog.ConditionState, bool) {
	dead := t.detector.State(now) == failuredetector.Dead
	switch {
	case dead && (t.reported || now.Sub(t.created) >= startGracePeriod):
		return catalog.ConditionDown, true
	case !t.reported || t.stateUnknown || dead:
		return "", false
	case t.report.Draining || t.service.router.plan.IsDraining(t.name):
		return catalog.ConditionDraining, true
	case t.report.Cold:
		return catalog.ConditionWarmingUp, true
	default:
		return catalog.ConditionUp, true
	}
}

// holdTime is the time that a state must be seen before it replaces another.
// States that take work away at once do no harm; those that give it back wait.
func holdTime(state catalog.ConditionState) time.Duration {
	switch state {
	case catalog.ConditionUp:
		return upHoldTime
	case catalog.ConditionDown:
		return downHoldTime
	default:
		return 0
	}
}

// warmupGateway names the one gateway that may place on the replica while it is cold.
// It stays as long as it may feed; else rendezvous names the next.
func (t *replica) warmupGateway() string {
	feeders := t.service.router.warmupGateways
	if t.conditioned && t.condition.WarmupGateway != "" && slices.Contains(feeders, t.condition.WarmupGateway) {
		return t.condition.WarmupGateway
	}
	return placement.Owner(warmupOwnerKey+t.name, feeders)
}

// warmupOwnerKey keeps the choice of the feeder apart from that of the watcher.
const warmupOwnerKey = "feeder/"

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
		cold := replica.admittedByPlan && replica.conditioned && replica.condition.State == catalog.ConditionWarmingUp
		if !cold || feeder == r.config.Gateway || slices.Contains(feeders, feeder) {
			continue
		}
		feeders = append(feeders, feeder)
	}
	slices.Sort(feeders)
	return feeders
}
