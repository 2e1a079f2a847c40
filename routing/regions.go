package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/placement"
)

const (
	// loadAge is how long a region's load counts as known at the least;
	// loadIntervals messages may be missing where they are rarer.
	loadAge       = 3 * time.Second
	loadIntervals = 4
	// loadSmoothing is the weight of one message about a region's load.
	loadSmoothing = 0.5
	// recoveryTime is how long a region that returns takes to its full traffic.
	recoveryTime = 5 * time.Second
	// leastRecovery is the part of its traffic that it has at once.
	leastRecovery = 0.1
)

// remote is what another region's gateways tell of it.
type remote struct {
	heard      time.Time
	interval   time.Duration // between messages, smoothed
	recovering time.Time     // when it was heard again after a silence
	loads      map[string]float64
}

// silent reports whether messages have stopped.
func (k *remote) silent(now time.Time) bool {
	return !k.heard.IsZero() && now.Sub(k.heard) >= max(loadAge, loadIntervals*k.interval)
}

// hear records a message at a time.
func (k *remote) hear(at time.Time) {
	if k.silent(at) {
		k.recovering = at
		clear(k.loads)
	}
	if elapsed := at.Sub(k.heard); !k.heard.IsZero() && elapsed > 0 {
		sample := min(elapsed, loadAge)
		k.interval += time.Duration(holdSmoothing * float64(sample-k.interval))
	}
	k.heard = later(k.heard, at)
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
	home, ok := r.boundRegions(&request)
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
		return refusal(&request, api.CodeNotFound, 0, "no service %q", request.Service)
	}
	if _, bound := homeOf(r.plan, &request); bound || len(request.Home) > 0 {
		return refusal(&request, api.CodeHomeUnavailable, unavailableRetry, "no region of the request's home can serve %q now", request.Service)
	}
	return refusal(&request, api.CodeNoCapacity, unavailableRetry, "no region can serve %q now", request.Service)
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
	known := r.remotes[region]
	if known == nil {
		known = &remote{loads: make(map[string]float64)}
		r.remotes[region] = known
	}
	known.hear(at)
	for name, value := range load {
		before, had := known.loads[name]
		if had && before < fedElsewhere && value < fedElsewhere {
			value = before + loadSmoothing*(value-before)
		}
		known.loads[name] = value
	}
}

// boundRegions is the home that binds a request under the present plan and the
// one it was resolved under; nil is any. It is false if no region is left.
func (r *Router) boundRegions(request *Request) (home []string, ok bool) {
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
			s.refreshOwn(now, region)
		} else {
			s.refreshRemote(now, region)
		}
	}
	sharing := append([]string{own}, s.router.plan.Regions()[own].Spill...)
	level := max(s.target, placement.CommonLoad(sharing, s.regions))
	s.spill.SetSetPoint(level)
	for name, region := range s.regions {
		if name == own {
			region.AcceptsSpill = s.gates[name].Update(s.utilization, unservable, level)
			continue
		}
		open := s.gates[name].Update(region.Load, s.utilization, level)
		region.AcceptsSpill = open && region.LoadFreshness == placement.Fresh
	}
}

func (s *service) refreshRemote(now time.Time, region *placement.Region) {
	known := s.router.remotes[region.Name]
	if known == nil {
		region.LoadFreshness = placement.NeverReported
		return
	}
	load, reported := known.loads[s.name]
	switch {
	case known.silent(now):
		region.LoadFreshness = placement.Stale
	case !reported:
		region.LoadFreshness = placement.NeverReported
	default:
		region.LoadFreshness = placement.Fresh
	}
	region.Load = load
	region.RecoveryFraction = recovered(now, known.recovering)
}

// refreshOwn judges the own region by what this gateway sees itself. Without a
// usable replica for a while it counts as silent and comes last.
func (s *service) refreshOwn(now time.Time, region *placement.Region) {
	region.Load = s.utilization
	region.LoadFreshness = placement.Fresh
	region.RecoveryFraction = recovered(now, s.recovering)
	if s.unusableFor(now) >= unusableWait {
		region.LoadFreshness = placement.Stale
	}
}

// recovered is the part of its traffic that a region may have at now.
func recovered(now, since time.Time) float64 {
	if since.IsZero() {
		return 1
	}
	part := now.Sub(since).Seconds() / recoveryTime.Seconds()
	return min(1, max(leastRecovery, part))
}
