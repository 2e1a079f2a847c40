package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/placement"
)

// setRegions updates the regions of each service. A region is usable for a service if the
// plan has a gateway there that is up and a replica that may get new requests.
func (r *Router) setRegions(plan *Plan, now time.Time) {
	reachable := map[string]bool{r.config.Region: true}
	for _, gateway := range plan.Gateways() {
		if gateway.Up {
			reachable[gateway.Region] = true
		}
	}
	usable := make(map[string]map[string]bool, len(r.services))
	for name, replica := range plan.Replicas() {
		if !planAdmits(plan, name, replica) || !reachable[replica.Region] {
			continue
		}
		if usable[replica.Service] == nil {
			usable[replica.Service] = make(map[string]bool)
		}
		usable[replica.Service][replica.Region] = true
	}
	for name, service := range r.services {
		service.setRegions(plan.Regions(), usable[name])
		service.refreshRegions(now)
	}
}

// setRegions adds, updates and removes the service's regions. Usable holds the names of the
// regions that can serve it.
func (s *service) setRegions(listed map[string]catalog.Region, usable map[string]bool) {
	for name := range s.regions {
		if _, ok := listed[name]; !ok {
			delete(s.regions, name)
			delete(s.gates, name)
		}
	}
	for name, settings := range listed {
		region := s.regions[name]
		if region == nil {
			region = &placement.Region{Name: name, Hash: placement.Hash(name), RecoveryFraction: 1}
			s.regions[name] = region
			s.gates[name] = &placement.SpillGate{}
		}
		region.Capacity = float64(settings.Capacity)
		region.Usable = usable[name]
	}
}

// refreshRegions updates the loads of the regions, the set point of the spill controller
// and whether each region accepts spill.
func (s *service) refreshRegions(now time.Time) {
	local := s.router.config.Region
	for name, region := range s.regions {
		if name == local {
			s.refreshLocal(now, region)
		} else {
			s.refreshRemote(now, region)
		}
	}
	sharing := append([]string{local}, s.router.plan.Regions()[local].Spill...)
	level := max(s.targetUtilization, placement.CommonLoad(sharing, s.regions))
	s.spillController.SetSetPoint(level)
	for name, region := range s.regions {
		if name == local {
			region.AcceptsSpill = s.gates[name].Update(s.utilization, unservableUtilization, level)
			continue
		}
		open := s.gates[name].Update(region.Load, s.utilization, level)
		region.AcceptsSpill = open && region.LoadFreshness == placement.Fresh
	}
}

// refreshRemote updates another region from the reports of its gateways.
func (s *service) refreshRemote(now time.Time, region *placement.Region) {
	known := s.router.remote[region.Name]
	if known == nil {
		region.LoadFreshness = placement.NeverReported
		return
	}
	load, reported := known.loads[s.name]
	switch {
	case known.stale(now):
		region.LoadFreshness = placement.Stale
	case !reported:
		region.LoadFreshness = placement.NeverReported
	default:
		region.LoadFreshness = placement.Fresh
	}
	region.Load = load
	region.RecoveryFraction = recoveryFraction(now, known.recoveringSince)
}

// refreshLocal updates the local region from this gateway's own measurements. If no replica
// has been usable for unusableWait, its load counts as stale, so that the region is ranked
// last.
func (s *service) refreshLocal(now time.Time, region *placement.Region) {
	region.Load = s.utilization
	region.LoadFreshness = placement.Fresh
	region.RecoveryFraction = recoveryFraction(now, s.recoveringSince)
	if s.unusableFor(now) >= unusableWait {
		region.LoadFreshness = placement.Stale
	}
}

// recoveryFraction returns the fraction of its usual traffic that a recovering region gets.
// Since is when its recovery began; the zero time means that it is not recovering.
func recoveryFraction(now, since time.Time) float64 {
	if since.IsZero() {
		return 1
	}
	fraction := now.Sub(since).Seconds() / recoveryDuration.Seconds()
	return min(1, max(minRecoveryFraction, fraction))
}

// measureUtilization returns the number of requests at the usable replicas and in the
// queues, divided by the sum of the replicas' limits. The other gateways of the region are
// assumed to have queues as long as this one. Replicas that another gateway is warming up
// are not usable here and do not count. The result is at most placement.MaxComparedLoad,
// or unservableUtilization if no replica is usable.
func (s *service) measureUtilization(now time.Time) float64 {
	busy := float64(s.queue.Len() * s.router.gateways.count())
	limits := 0.0
	for _, target := range s.replicas {
		if !target.usable(now) {
			continue
		}
		busy += float64(target.totalInFlight())
		limits += float64(target.concurrencyLimit())
	}
	if limits == 0 {
		return unservableUtilization
	}
	return min(busy/limits, placement.MaxComparedLoad)
}

// regionLoad returns the utilization that is reported to other regions.
func (s *service) regionLoad() float64 {
	if s.utilization < unservableUtilization {
		return s.utilization
	}
	for _, target := range s.replicas {
		if target.admittedByPlan && target.reported && !target.stateUnknown && target.condition.State == catalog.ConditionWarmingUp {
			return warmupElsewhereUtilization
		}
	}
	return unservableUtilization
}
