package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// kindWeb is the kind of services without prefill and decode.
const kindWeb = "web"

// unavailableRetryAfter is the retry time of errors for which no region can serve.
const unavailableRetryAfter = time.Second

// Resolve translates a caller's request under the present plan: it finds the service,
// the class and the home regions, which the home rules of the request, its route and
// its tenant all restrict.
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
		failure := rejection(&request, api.CodeNotFound, 0, "no route for model %q", generate.Model)
		failure.Field = "model"
		return request, failure
	}
	request.Service = route.Service
	service, ok := plan.Service(route.Service)
	if !ok {
		return request, rejection(&request, api.CodeNotFound, 0, "no service %q", route.Service)
	}
	request.Class = classOf(generate, route.Class, service.Kind)
	if generate.Home != "" {
		if _, known := plan.Home(generate.Home); !known {
			return request, invalid(generate.RequestID, "home", "no home rule %q", generate.Home)
		}
	}
	home, bound := homeUnder(plan, &request, route)
	if bound && len(home) == 0 {
		return request, rejection(&request, api.CodeHomeUnavailable, 0, "the homes that bind the request have no region in common")
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
	return rejection(request, api.CodeNotReady, unavailableRetryAfter, "no configuration is active yet")
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

// shareOf returns the weight of a request in fair queueing.
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
