package routing

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/placement"
	"github.com/deckpulley/deckpulley/slowstart"
)

// warmingUp reports whether the replica counts as warming up, which it does until both
// its own report and the plan say otherwise.
func (t *replica) warmingUp() bool {
	return !planted.Active(planted.RampPerGateway) && (t.report.Cold || t.conditioned && t.condition.State == catalog.ConditionWarmingUp)
}

// updateSlowStart begins a slow start for a new incarnation, for a replica that was
// closed for slowStartClosure, and for one that has begun or ended to warm up.
func (t *replica) updateSlowStart(now time.Time, was bool) {
	fresh := t.slowStartIncarnation != t.report.Incarnation
	long := !was && now.Sub(t.closedAt) >= slowStartClosure
	bound := t.maxConcurrency()
	additive := t.slowStart != nil && t.slowStart.Growth() == slowstart.Additive
	if fresh || long || (t.warmingUp() && !additive) {
		t.slowStartIncarnation = t.report.Incarnation
		t.slowStart = t.newSlowStart(bound)
		t.lastWarmup = now
		return
	}
	if additive && !t.warmingUp() {
		t.slowStart = slowstart.New(slowstart.Doubling, t.slowStart.Limit(), bound)
	}
}

func (t *replica) newSlowStart(bound int) *slowstart.Limiter {
	if t.warmingUp() {
		return slowstart.New(slowstart.Additive, t.service.warmupConcurrency, bound)
	}
	return slowstart.New(slowstart.Doubling, int(slowStartFraction*float64(bound)), bound)
}

// warmupGateway returns the one gateway that may send requests to the replica while it
// is warming up. It stays the same as long as it may; else rendezvous hashing chooses
// another.
func (t *replica) warmupGateway() string {
	gateways := t.service.router.gateways.warmup
	if t.conditioned && t.condition.WarmupGateway != "" && slices.Contains(gateways, t.condition.WarmupGateway) {
		return t.condition.WarmupGateway
	}
	return placement.Owner(warmupOwnerKey+t.name, gateways)
}

// warmupOwnerKey makes the choice of the warm-up gateway independent of that of the
// watcher.
const warmupOwnerKey = "feeder/"

// WarmupGateways lists the other gateways of the local region that may send requests of
// a service to replicas that are warming up, sorted. A gateway whose region has only
// such replicas forwards its requests to these gateways.
func (r *Router) WarmupGateways(name string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	target := r.services[name]
	if target == nil {
		return nil
	}
	var gateways []string
	for _, replica := range target.replicas {
		gateway := replica.condition.WarmupGateway
		warming := replica.admittedByPlan && replica.conditioned && replica.condition.State == catalog.ConditionWarmingUp
		if !warming || gateway == r.config.Gateway || slices.Contains(gateways, gateway) {
			continue
		}
		gateways = append(gateways, gateway)
	}
	slices.Sort(gateways)
	return gateways
}
