package routing

import (
	"slices"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/internal/planted"
)

// homeRegions returns the regions that may run a request under both the present plan
// and the one that it was resolved under; nil is any. It returns false if there is no
// such region.
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

// servingRegion returns the region of the request's client, else the local region.
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

// homeOf calls homeUnder with the plan's route for the request's model.
func homeOf(plan *Plan, request *Request) (regions []string, bound bool) {
	route, _ := plan.Route(request.Model)
	return homeUnder(plan, request, route)
}

// homeUnder returns the intersection of the home rules that bind a request: its own,
// its route's and its tenant's. A rule that the plan does not have admits no region,
// so that the removal of a rule in error does not lift the restriction.
func homeUnder(plan *Plan, request *Request, route catalog.Route) (regions []string, bound bool) {
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
		if !bound {
			regions, bound = slices.Clone(home.Regions), true
			continue
		}
		regions = slices.DeleteFunc(regions, func(region string) bool {
			return !slices.Contains(home.Regions, region)
		})
	}
	return regions, bound
}

// mayRunIn reports whether a request may run in a region: both under the homes
// found when it was resolved and under those of the present plan.
func mayRunIn(plan *Plan, request *Request, region string) bool {
	if planted.Active(planted.IgnoreHome) {
		return true
	}
	if len(request.Home) > 0 && !slices.Contains(request.Home, region) {
		return false
	}
	if request.resolved == plan {
		return true
	}
	home, bound := homeOf(plan, request)
	return !bound || slices.Contains(home, region)
}
