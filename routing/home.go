package routing

import (
	"slices"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/internal/planted"
)

// homeRegions returns the regions that may run a request under both the active plan and
// the plan that it was resolved under. A nil list allows any region. It returns false if
// no region is allowed by both.
func (r *Router) homeRegions(request *Request) (home []string, ok bool) {
	if request.resolvedPlan == r.plan {
		return request.Home, true
	}
	current, restricted := homeUnderPlan(r.plan, request)
	if !restricted {
		if len(request.Home) == 0 {
			return nil, true
		}
		return request.Home, true
	}
	for _, region := range current {
		if mayRunIn(r.plan, request, region) {
			home = append(home, region)
		}
	}
	return home, len(home) > 0
}

// clientRegion returns the region that the plan assigns to the request's client, or the
// local region if there is none.
func (r *Router) clientRegion(request *Request) string {
	if request.Client == "" {
		return r.config.Region
	}
	client, ok := r.plan.Client(request.Client)
	if !ok {
		return r.config.Region
	}
	return client.Region
}

// homeUnderPlan calls homeUnderRoute with the plan's route for the request's model.
func homeUnderPlan(plan *Plan, request *Request) (regions []string, restricted bool) {
	route, _ := plan.Route(request.Model)
	return homeUnderRoute(plan, request, route)
}

// homeUnderRoute returns the intersection of the home rules that apply to a request: its
// own, its route's and its tenant's. It returns false for restricted if there are none, in
// which case any region is allowed. A rule that the plan does not define allows no region,
// so that removing a rule by mistake does not lift its restriction.
func homeUnderRoute(plan *Plan, request *Request, route catalog.Route) (regions []string, restricted bool) {
	rules := make([]string, 0, 3)
	rules = append(rules, request.HomeRule, route.Home)
	if request.Tenant != "" {
		if tenant, ok := plan.Tenant(request.Tenant); ok {
			rules = append(rules, tenant.Home)
		}
	}
	for _, rule := range rules {
		if rule == "" {
			continue
		}
		home, _ := plan.Home(rule)
		if !restricted {
			regions, restricted = slices.Clone(home.Regions), true
			continue
		}
		regions = slices.DeleteFunc(regions, func(region string) bool {
			return !slices.Contains(home.Regions, region)
		})
	}
	return regions, restricted
}

// mayRunIn reports whether a request may run in a region under both the home regions found
// when it was resolved and those of the given plan.
func mayRunIn(plan *Plan, request *Request, region string) bool {
	if planted.Active(planted.IgnoreHome) {
		return true
	}
	if len(request.Home) > 0 && !slices.Contains(request.Home, region) {
		return false
	}
	if request.resolvedPlan == plan {
		return true
	}
	home, restricted := homeUnderPlan(plan, request)
	return !restricted || slices.Contains(home, region)
}
