package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/placement"
)

// Regions lists the regions to try for a request, best first. A region outside the
// request's home is never listed. If the list is empty, Rejection returns the reason.
// A request that another region's gateway has forwarded must not be forwarded
// again, whatever the list says.
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

// Rejection returns the error of a request for which Regions is empty.
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
