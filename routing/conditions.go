package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/failuredetector"
)

const (
	// upHoldTime is how long a replica must be observed up before that replaces another
	// state: two reports at the default interval.
	upHoldTime = 750 * time.Millisecond
	// downHoldTime is how long a replica must be dead before it is declared down.
	downHoldTime = 2 * time.Second
	// startGracePeriod is how long a new replica may stay without a report before it
	// can be declared down.
	startGracePeriod = 3 * time.Second
	// proposalInterval is the time between two proposals of the same change.
	proposalInterval = 400 * time.Millisecond
	// A gap of processPauseThreshold between two calls of Conditions counts as a pause of
	// the process, which then proposes nothing for processPauseRecovery.
	processPauseThreshold = 3 * time.Second
	processPauseRecovery  = 2 * time.Second
)

// ConditionChange proposes a conditional update of a replica's condition in the
// registry: it requires Old (nil for absent) and sets New.
type ConditionChange struct {
	Replica string
	Old     *catalog.Condition
	New     catalog.Condition
}

// proposal is a condition that was proposed for a replica.
type proposal struct {
	condition catalog.Condition
	at        time.Time
}

// Conditions proposes the conditions of the replicas watched by this gateway that
// it observes to differ from the active plan, sorted by replica. A change is
// proposed again until the plan has it. Conditions must be called about as often as
// replicas are polled: a longer gap counts as a pause of this process.
func (r *Router) Conditions(now time.Time) []ConditionChange {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.plan == nil || r.pauses.paused(now) {
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

// pauseDetector tells a pause of this process, as when it was frozen, from the
// replicas' failure to respond.
type pauseDetector struct {
	lastCall  time.Time
	resumedAt time.Time // after the last pause; zero if there was none
}

// paused reports whether the process was paused recently, so that the replicas'
// responses to its polls may still be missing. It must be called regularly.
func (d *pauseDetector) paused(now time.Time) bool {
	gap := now.Sub(d.lastCall)
	if !d.lastCall.IsZero() && gap >= processPauseThreshold {
		d.resumedAt = now
	}
	d.lastCall = now
	return !d.resumedAt.IsZero() && now.Sub(d.resumedAt) < processPauseRecovery
}

// anyReplicaAlive reports whether any replica of the region is alive. A gateway to
// which all of several replicas look dead may be partitioned itself, and declares none
// down.
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

// proposeCondition returns the change from the plan's condition to the observed one,
// and false if there is none or if it was proposed recently.
func (t *replica) proposeCondition(now time.Time) (ConditionChange, bool) {
	observed, ok := t.observedCondition(now)
	if !t.isWatcher || !ok || (t.conditioned && t.condition == observed) {
		return ConditionChange{}, false
	}
	recent := t.lastProposal.condition == observed && now.Sub(t.lastProposal.at) < proposalInterval
	if recent && !t.lastProposal.at.IsZero() {
		return ConditionChange{}, false
	}
	t.lastProposal = proposal{condition: observed, at: now}
	change := ConditionChange{Replica: t.name, New: observed}
	if t.conditioned {
		old := t.condition
		change.Old = &old
	}
	return change, true
}

// observedCondition returns the condition that this gateway observes, with hysteresis,
// and false while it is unknown.
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

// observedDown returns the condition of a dead replica. One that is down already is
// kept as it is.
func (t *replica) observedDown(now time.Time) (catalog.Condition, bool) {
	if t.conditioned && t.condition.State == catalog.ConditionDown {
		return t.condition, true
	}
	down := catalog.Condition{State: catalog.ConditionDown, Incarnation: t.report.Incarnation}
	return down, t.service.router.anyReplicaAlive(now)
}

// observedState returns the state before hysteresis, and false while it is unknown.
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

// holdTime returns how long a state must be observed before it replaces another.
// States that only take requests away need no hold time; those that give them back,
// and down, do.
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
