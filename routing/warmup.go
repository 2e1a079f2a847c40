package routing

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/placement"
	"github.com/deckpulley/deckpulley/slowstart"
)

// warmingUp reports whether the replica is warming up according to its own report or to
// the plan.
func (r *replica) warmingUp() bool {
	return !planted.Active(planted.RampPerGateway) && (r.report.Cold || r.hasCondition && r.condition.State == catalog.ConditionWarmingUp)
}

// updateSlowStart begins a slow start for a new incarnation, for a replica that was closed
// for slowStartClosure, and for one that begins to warm up. Once a replica is warm, its
// limit may double instead of growing additively.
func (r *replica) updateSlowStart(now time.Time, wasOpen bool) {
	newIncarnation := r.slowStartIncarnation != r.report.Incarnation
	longClosure := !wasOpen && now.Sub(r.closedAt) >= slowStartClosure
	maximum := r.maxConcurrency()
	additive := r.slowStart != nil && r.slowStart.Growth() == slowstart.Additive
	if newIncarnation || longClosure || (r.warmingUp() && !additive) {
		r.slowStartIncarnation = r.report.Incarnation
		r.slowStart = r.newSlowStart(maximum)
		r.lastWarmup = now
		return
	}
	if additive && !r.warmingUp() {
		r.slowStart = slowstart.New(slowstart.Doubling, r.slowStart.Limit(), maximum)
	}
}

func (r *replica) newSlowStart(maximum int) *slowstart.Limiter {
	if r.warmingUp() {
		return slowstart.New(slowstart.Additive, r.service.warmupConcurrency, maximum)
	}
	return slowstart.New(slowstart.Doubling, int(slowStartFraction*float64(maximum)), maximum)
}

// warmupGateway returns the one gateway that may send requests to the replica while it is
// warming up. This is the gateway that the plan names as long as that one is eligible;
// otherwise rendezvous hashing chooses another.
func (r *replica) warmupGateway() string {
	gateways := r.service.router.gateways.warmup
	if r.hasCondition && r.condition.WarmupGateway != "" && slices.Contains(gateways, r.condition.WarmupGateway) {
		return r.condition.WarmupGateway
	}
	return placement.Owner(warmupOwnerKey+r.name, gateways)
}

// warmupOwnerKey is a prefix of the hashed name that makes the choice of the warm-up
// gateway independent of the choice of the gateway that proposes the condition.
const warmupOwnerKey = "feeder/"

// WarmupGateways returns the other gateways of the local region that may send requests of
// a service to replicas that are warming up, sorted. If all replicas of the region are
// warming up, a gateway forwards its requests to these gateways.
func (r *Router) WarmupGateways(name string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	service := r.services[name]
	if service == nil {
		return nil
	}
	var gateways []string
	for _, replica := range service.replicas {
		gateway := replica.condition.WarmupGateway
		warmingUp := replica.admittedByPlan && replica.hasCondition && replica.condition.State == catalog.ConditionWarmingUp
		if !warmingUp || gateway == r.config.Gateway || slices.Contains(gateways, gateway) {
			continue
		}
		gateways = append(gateways, gateway)
	}
	slices.Sort(gateways)
	return gateways
}
