package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/placement"
)

const (
	// minLoadTimeout is how long a region's load counts as known at the least;
	// loadIntervals messages may be missing where they are rarer.
	minLoadTimeout       = 3 * time.Second
	loadTimeoutIntervals = 4
	// loadSmoothing is the weight of one message about a region's load.
	loadSmoothing = 0.5
	// recoveryDuration is how long a region that returns takes to its full traffic.
	recoveryDuration = 5 * time.Second
	// minRecoveryFraction is the part of its traffic that it has at once.
	minRecoveryFraction = 0.1
)

// remoteRegion is what another region's gateways tell of it.
type remoteRegion struct {
	lastReport      time.Time
	interval   time.Duration // between messages, smoothed
	recoveringSince time.Time     // when it was heard again after a silence
	loads      map[string]float64
}

// stale reports whether messages have stopped.
func (k *remoteRegion) stale(now time.Time) bool {
	return !k.lastReport.IsZero() && now.Sub(k.lastReport) >= max(minLoadTimeout, loadTimeoutIntervals*k.interval)
}

// recordReport records a message at a time.
func (k *remoteRegion) recordReport(at time.Time) {
	if k.stale(at) {
		k.recoveringSince = at
		clear(k.loads)
	}
	if elapsed := at.Sub(k.lastReport); !k.lastReport.IsZero() && elapsed > 0 {
		sample := min(elapsed, minLoadTimeout)
		k.interval += time.Duration(serviceTimeSmoothing * float64(sample-k.interval))
	}
	k.lastReport = latest(k.lastReport, at)
}

// Regions lists the regions to try for a request, best first. A region outside
// the request's home is never listed. The list is empty if no region is left;
// Rejection then says why. A request that came from another region's gateway must
// not be passed on again, whatever the list says.
func (r *Router) Regions(request Request) []string {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tick(now)
	if unconfigured(r.plan) {
		return nil
	}
	service := r.services[request.Service]
	if service == nil {
		return nil
	}
	home, ok := r.homeRegions(&request)
	if !ok {
		return nil
	}
	if planted.Active(planted.IgnoreHome) {
		home = nil
	}
	served := r.servingRegion(&request)
	work := placement.RegionWork{
		Key:       placement.Hash(request.ID) ^ r.config.Seed,
		Preferred: served,
		Spill:     r.plan.Regions()[served].Spill,
		Home:      home,
	}
	if request.RegionChosen && served != r.config.Region {
		work.Preferred = r.config.Region
		work.Spill = append([]string{served}, work.Spill...)
	}
	if served == r.config.Region && !request.RegionChosen {
		work.SpillFraction = service.spill.Output()
	}
	return placement.RankRegions(work, service.regions)
}

// Rejection is the answer to a request for which Regions is empty.
func (r *Router) Rejection(request Request) *api.Error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if unconfigured(r.plan) {
		return unconfiguredError(&request)
	}
	if r.services[request.Service] == nil {
		return rejection(&request, api.CodeNotFound, 0, "no service %q", request.Service)
	}
	if _, bound := homeOf(r.plan, &request); bound || len(request.Home) > 0 {
		return rejection(&request, api.CodeHomeUnavailable, unavailableRetryAfter, "no region of the request's home can serve %q now", request.Service)
	}
	return rejection(&request, api.CodeNoCapacity, unavailableRetryAfter, "no region can serve %q now", request.Service)
}

// Load is the utilization of each service in the own region, 1 is full, to be
// told to other regions.
func (r *Router) Load() map[string]float64 {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tick(now)
	load := make(map[string]float64, len(r.services))
	for name, service := range r.services {
		if len(service.replicas) > 0 {
			load[name] = service.regionLoad()
		}
	}
	return load
}

// SetRemoteLoad takes what a gateway of another region tells of its services.
func (r *Router) SetRemoteLoad(region string, load map[string]float64, at time.Time) {
	if region == r.config.Region {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.remoteRegions[region]
	if known == nil {
		known = &remoteRegion{loads: make(map[string]float64)}
		r.remoteRegions[region] = known
	}
	known.recordReport(at)
	for name, value := range load {
		before, had := known.loads[name]
		if had && before < warmupElsewhereUtilization && value < warmupElsewhereUtilization {
			value = before + loadSmoothing*(value-before)
		}
		known.loads[name] = value
	}
}

// homeRegions is the home that binds a request under the present plan and the
// one it was resolved under; nil is any. It is false if no region is left.
func (r *Router) homeRegions(request *Request) (home []string, ok bool) {
	if request.resolved == r.plan {
		return request.Home, true
	}
	present, bound := homeOf(r.plan, request)
	if !bound {
		if len(request.Home) == 0 {
			return nil, true
		}
		return request.Home, true
	}
	for _, region := range present {
		if mayRunIn(r.plan, request, region) {
			home = append(home, region)
		}
	}
	return home, len(home) > 0
}

// servingRegion is the region that serves the request's client, else the own.
func (r *Router) servingRegion(request *Request) string {
	if request.Client == "" {
		return r.config.Region
	}
	client, ok := r.plan.Client(request.Client)
	if !ok {
		return r.config.Region
	}
	return client.Region
}

// setRegions finds, for each service, the regions that the plan leaves a
// replica and a gateway.
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

// planAdmits reports whether the plan alone lets a replica have new work.
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

// refreshRegions brings what is known of the regions' loads up to date.
func (s *service) refreshRegions(now time.Time) {
	own := s.router.config.Region
	for name, region := range s.regions {
		if name == own {
			s.refreshLocal(now, region)
		} else {
			s.refreshRemote(now, region)
		}
	}
	sharing := append([]string{own}, s.router.plan.Regions()[own].Spill...)
	level := max(s.targetUtilization, placement.CommonLoad(sharing, s.regions))
	s.spill.SetSetPoint(level)
	for name, region := range s.regions {
		if name == own {
			region.AcceptsSpill = s.gates[name].Update(s.utilization, unservableUtilization, level)
			continue
		}
		open := s.gates[name].Update(region.Load, s.utilization, level)
		region.AcceptsSpill = open && region.LoadFreshness == placement.Fresh
	}
}

func (s *service) refreshRemote(now time.Time, region *placement.Region) {
	known := s.router.remoteRegions[region.Name]
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

// refreshLocal judges the own region by what this gateway sees itself. Without a
// usable replica for a while it counts as silent and comes last.
func (s *service) refreshLocal(now time.Time, region *placement.Region) {
	region.Load = s.utilization
	region.LoadFreshness = placement.Fresh
	region.RecoveryFraction = recoveryFraction(now, s.recoveringSince)
	if s.unusableFor(now) >= unusableWait {
		region.LoadFreshness = placement.Stale
	}
}

// recoveryFraction is the part of its traffic that a region may have at now.
func recoveryFraction(now, since time.Time) float64 {
	if since.IsZero() {
		return 1
	}
	part := now.Sub(since).Seconds() / recoveryDuration.Seconds()
	return min(1, max(minRecoveryFraction, part))
}
