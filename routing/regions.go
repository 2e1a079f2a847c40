package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/placement"
)

// Regions returns the regions to try for a request, best first. It never returns a region
// outside the request's home regions. If the result is empty, Rejection returns the
// reason. A caller must not forward a request that was already forwarded by a gateway of
// another region, even if the list begins with a remote region.
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
	clientRegion := r.clientRegion(&request)
	work := placement.RegionWork{
		Key:       placement.Hash(request.ID) ^ r.config.Seed,
		Preferred: clientRegion,
		Spill:     r.plan.Regions()[clientRegion].Spill,
		Home:      home,
	}
	if request.HasTicket && clientRegion != r.config.Region {
		work.Preferred = r.config.Region
		work.Spill = append([]string{clientRegion}, work.Spill...)
	}
	if clientRegion == r.config.Region && !request.HasTicket {
		work.SpillFraction = service.spillController.Output()
	}
	return placement.RankRegions(work, service.regions)
}

// Rejection returns the error for a request for which Regions returns no region.
func (r *Router) Rejection(request Request) *api.Error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if unconfigured(r.plan) {
		return unconfiguredError(&request)
	}
	if r.services[request.Service] == nil {
		return rejection(&request, api.CodeNotFound, 0, "no service %q", request.Service)
	}
	if _, restricted := homeUnderPlan(r.plan, &request); restricted || len(request.Home) > 0 {
		return rejection(&request, api.CodeHomeUnavailable, unavailableRetryAfter, "none of the request's home regions can serve service %q now", request.Service)
	}
	return rejection(&request, api.CodeNoCapacity, unavailableRetryAfter, "no region can serve service %q now", request.Service)
}
