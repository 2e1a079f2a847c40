package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/failuredetector"
)

const (
	// upHoldTime is how long a replica must be observed up before its state changes to up.
	// It spans two reports at the default interval.
	upHoldTime = 750 * time.Millisecond
	// downHoldTime is how long the failure detector must consider a replica dead before
	// the replica is declared down.
	downHoldTime = 2 * time.Second
	// startGracePeriod is how long a new replica may send no report before it can be
	// declared down.
	startGracePeriod = 3 * time.Second
	// proposalInterval is the time between two proposals of the same change.
	proposalInterval = 400 * time.Millisecond
	// If two calls of ProposeConditions are at least processPauseThreshold apart, the
	// process is assumed to have been paused, and proposes nothing for
	// processPauseRecovery.
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

// proposal is the condition that was last proposed for a replica, and when.
type proposal struct {
	condition catalog.Condition
	at        time.Time
}

// ProposeConditions returns the condition changes that this gateway proposes, sorted by
// replica: one for each replica whose observed condition differs from the active plan.
// Each replica has one gateway that proposes its condition. A change is proposed
// repeatedly until the plan contains it. ProposeConditions must be called about as often
// as replicas are polled, since a long gap between calls is taken for a pause of this
// process.
func (r *Router) ProposeConditions(now time.Time) []ConditionChange {
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

// pauseDetector detects that this process was paused, for example suspended by the
// operating system, so that the pause is not mistaken for a failure of the replicas.
type pauseDetector struct {
	lastCall  time.Time
	resumedAt time.Time // end of the last pause; zero if there was none
}

// paused reports whether the process was paused recently, in which case the replicas'
// responses to its polls may still be outstanding. It must be called regularly.
func (d *pauseDetector) paused(now time.Time) bool {
	gap := now.Sub(d.lastCall)
	if !d.lastCall.IsZero() && gap >= processPauseThreshold {
		d.resumedAt = now
	}
	d.lastCall = now
	return !d.resumedAt.IsZero() && now.Sub(d.resumedAt) < processPauseRecovery
}

// anyReplicaAlive reports whether any replica of the region is alive. If all of several
// replicas seem dead, this gateway may itself be partitioned from them, and declares none
// of them down. For a single replica this cannot be distinguished, and the result is true.
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

// proposeCondition returns the change from the plan's condition to the observed one. It
// returns false if there is no change, if it was proposed recently, or if another gateway
// proposes the condition of this replica.
func (r *replica) proposeCondition(now time.Time) (ConditionChange, bool) {
	observed, ok := r.observedCondition(now)
	if !r.proposesCondition || !ok || (r.hasCondition && r.condition == observed) {
		return ConditionChange{}, false
	}
	recentlyProposed := r.lastProposal.condition == observed && now.Sub(r.lastProposal.at) < proposalInterval
	if recentlyProposed && !r.lastProposal.at.IsZero() {
		return ConditionChange{}, false
	}
	r.lastProposal = proposal{condition: observed, at: now}
	change := ConditionChange{Replica: r.name, New: observed}
	if r.hasCondition {
		old := r.condition
		change.Old = &old
	}
	return change, true
}

// observedCondition returns the condition that this gateway observes, with hysteresis,
// and false while it is unknown.
func (r *replica) observedCondition(now time.Time) (catalog.Condition, bool) {
	state, ok := r.observedState(now)
	if !ok {
		return catalog.Condition{}, false
	}
	state = r.conditionHysteresis.Observe(now, state, holdTime(state))
	if state == catalog.ConditionDown {
		return r.observedDown(now)
	}
	condition := catalog.Condition{State: state, Incarnation: r.report.Incarnation}
	if state == catalog.ConditionWarmingUp {
		condition.WarmupGateway = r.warmupGateway()
		return condition, condition.WarmupGateway != ""
	}
	return condition, true
}

// observedDown returns the condition of a dead replica. If the plan already has it as
// down, its condition does not change.
func (r *replica) observedDown(now time.Time) (catalog.Condition, bool) {
	if r.hasCondition && r.condition.State == catalog.ConditionDown {
		return r.condition, true
	}
	down := catalog.Condition{State: catalog.ConditionDown, Incarnation: r.report.Incarnation}
	return down, r.service.router.anyReplicaAlive(now)
}

// observedState returns the state before hysteresis, and false while it is unknown.
func (r *replica) observedState(now time.Time) (catalog.ConditionState, bool) {
	dead := r.detector.State(now) == failuredetector.Dead
	switch {
	case dead && (r.reported || now.Sub(r.created) >= startGracePeriod):
		return catalog.ConditionDown, true
	case !r.reported || r.stateUnknown || dead:
		return "", false
	case r.report.Draining || r.service.router.plan.IsDraining(r.name):
		return catalog.ConditionDraining, true
	case r.report.Cold:
		return catalog.ConditionWarmingUp, true
	default:
		return catalog.ConditionUp, true
	}
}

// holdTime returns how long a state must be observed before it replaces another. Draining
// and warming up, which only restrict the requests that a replica gets, take effect
// immediately. Up and down need a hold time.
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
