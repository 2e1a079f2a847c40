package routing

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
)

// Plan is the registry state that is active at this gateway. It is immutable: each
// activation replaces it.
type Plan = catalog.State

// SetPlan replaces the plan. Queued requests whose service was removed or whose model is
// routed to another service are admitted again; those that the new plan no longer allows
// are rejected.
func (r *Router) SetPlan(plan *Plan) {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.plan = plan
	r.version = plan.Version()
	r.serial = plan.Serial()
	r.retryBudget.SetRatio(plan.Limits().RetryRatio)
	r.gateways.set(plan, r.config.Region)
	waiting := r.setServices(plan)
	r.setReplicas(plan, now)
	r.setRegions(plan, now)
	for _, waiter := range waiting {
		r.readmit(now, waiter)
	}
	for _, service := range r.services {
		service.rejectInadmissible(now)
		service.dispatch(now)
	}
}

// localGateways holds the names of the gateways of the local region that are up.
type localGateways struct {
	// up lists the gateways that are up, sorted.
	up []string
	// warmup lists the ones that may be chosen to send requests to replicas that are
	// warming up, sorted.
	warmup []string
}

// set reads the gateways from a plan. Gateways in evacuated zones may warm up replicas
// only if there are no others.
func (g *localGateways) set(plan *Plan, region string) {
	g.up = g.up[:0]
	g.warmup = g.warmup[:0]
	for name, gateway := range plan.Gateways() {
		if !gateway.Up || gateway.Region != region {
			continue
		}
		g.up = append(g.up, name)
		if !plan.IsEvacuated(gateway.Zone) {
			g.warmup = append(g.warmup, name)
		}
	}
	if len(g.warmup) == 0 {
		g.warmup = append(g.warmup, g.up...)
	}
	slices.Sort(g.up)
	slices.Sort(g.warmup)
}

// count returns the number of gateways that share the region's replicas, at least 1.
func (g *localGateways) count() int {
	return max(1, len(g.up))
}

// setServices adds, updates and removes services. It returns the waiters of removed
// services and the waiters whose model is now routed to another service.
func (r *Router) setServices(plan *Plan) []*waiter {
	var waiters []*waiter
	for name, service := range r.services {
		if _, ok := plan.Service(name); ok {
			waiters = append(waiters, service.removeRerouted(plan)...)
			continue
		}
		for _, item := range service.queue.Drain() {
			waiters = append(waiters, item.Payload)
		}
		delete(r.services, name)
	}
	limits := plan.Limits()
	for name, settings := range plan.Services() {
		if r.services[name] == nil {
			r.services[name] = newService(r, name, limits)
		}
		r.services[name].configure(settings, limits)
	}
	return waiters
}

// setReplicas adds, updates and removes the replicas of the local region.
func (r *Router) setReplicas(plan *Plan, now time.Time) {
	listed := plan.Replicas()
	for name, target := range r.replicas {
		entry, ok := listed[name]
		if !ok || entry != target.entry || r.services[entry.Service] != target.service {
			target.service.removeReplica(target)
			delete(r.replicas, name)
		}
	}
	for _, name := range r.localReplicas(listed) {
		entry := listed[name]
		service := r.services[entry.Service]
		if r.replicas[name] == nil {
			r.replicas[name] = service.addReplica(name, entry, now)
		}
		r.replicas[name].applyPlan(now, plan)
	}
	for _, service := range r.services {
		service.updateMembers()
	}
}

// localReplicas returns the names of the listed replicas of the local region that belong
// to a known service. They are sorted so that applying a plan is deterministic.
func (r *Router) localReplicas(listed map[string]catalog.Replica) []string {
	var names []string
	for name, entry := range listed {
		if entry.Region == r.config.Region && r.services[entry.Service] != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// planAdmits reports whether the plan allows new requests to a replica, without regard to
// the replica's own reports.
func planAdmits(plan *Plan, name string, replica catalog.Replica) bool {
	if plan.IsDraining(name) || plan.IsEvacuated(replica.Zone) {
		return false
	}
	condition, ok := plan.Condition(name)
	if !ok {
		return true
	}
	return condition.State == catalog.ConditionUp || condition.State == catalog.ConditionWarmingUp
}
