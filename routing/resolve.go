package routing

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/internal/planted"
)

// kindWeb is the kind of services without prefill and decode.
const kindWeb = "web"

// unavailableRetry is told to callers whose region or home cannot serve now.
const unavailableRetry = time.Second

// Resolve turns a caller's request into what routing must know, under the
// present plan. The homes of the request, its route and its tenant all bind.
func (r *Router) Resolve(generate api.GenerateRequest, now time.Time) (Request, *api.Error) {
	r.mutex.Lock()
	plan := r.plan
	r.mutex.Unlock()
	request := requestOf(generate, now)
	if unconfigured(plan) {
		return request, unconfiguredError(&request)
	}
	route, ok := plan.Route(generate.Model)
	if !ok {
		failure := refusal(&request, api.CodeNotFound, 0, "no route for model %q", generate.Model)
		failure.Field = "model"
		return request, failure
	}
	request.Service = route.Service
	service, ok := plan.Service(route.Service)
	if !ok {
		return request, refusal(&request, api.CodeNotFound, 0, "no service %q", route.Service)
	}
	request.Class = classOf(generate, route.Class, service.Kind)
	if generate.Home != "" {
		if _, known := plan.Home(generate.Home); !known {
			return request, invalid(generate.RequestID, "home", "no home rule %q", generate.Home)
		}
	}
	home, bound := homeUnder(plan, &request, route)
	if bound && len(home) == 0 {
		return request, refusal(&request, api.CodeHomeUnavailable, 0, "the homes that bind the request have no region in common")
	}
	request.Home = home
	request.resolved = plan
	return request, nil
}

// unconfigured reports whether no configuration is active yet.
func unconfigured(plan *Plan) bool {
	return plan == nil || plan.Version() == 0
}

func unconfiguredError(request *Request) *api.Error {
	return refusal(request, api.CodeNotReady, unavailableRetry, "no configuration is active yet")
}

func requestOf(generate api.GenerateRequest, now time.Time) Request {
	return Request{
		ID:           generate.RequestID,
		Tenant:       generate.Tenant,
		Model:        generate.Model,
		Prefixes:     generate.Prefixes,
		PromptTokens: generate.PromptTokens,
		MaxTokens:    generate.MaxTokens,
		Stream:       generate.Stream,
		Client:       generate.Client,
		RegionChosen: generate.Ticket != "",
		HomeRule:     generate.Home,
		Deadline:     now.Add(api.Wait(generate.WaitMS)),
		Attempt:      1,
	}
}

func classOf(generate api.GenerateRequest, routeClass, kind string) api.Class {
	switch {
	case generate.Class != "":
		return generate.Class
	case routeClass != "":
		return api.Class(routeClass)
	case kind == kindWeb:
		return api.ClassFetch
	case generate.Stream:
		return api.ClassLong
	default:
		return api.ClassQuick
	}
}

// homeOf is homeUnder with the route that the plan has for the request's model.
func homeOf(plan *Plan, request *Request) (regions []string, bound bool) {
	route, _ := plan.Route(request.Model)
	return homeUnder(plan, request, route)
}

// homeUnder intersects the homes that bind a request: its own rule, its route's
// and its tenant's. A rule that the plan does not know admits no region, so
// that a rule removed in error binds rather than frees.
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

// shareOf is the weight of a request among others when short.
func shareOf(plan *Plan, request *Request) float64 {
	weight := 1.0
	if tenant, ok := plan.Tenant(request.Tenant); ok && tenant.Weight > 0 {
		weight *= float64(tenant.Weight)
	}
	if route, ok := plan.Route(request.Model); ok && route.Weight > 0 {
		weight *= float64(route.Weight)
	}
	return weight
}
