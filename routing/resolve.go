package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// kindWeb is the kind of services that answer ordinary web requests, without prefill and
// decode.
const kindWeb = "web"

// unavailableRetryAfter is the retry delay in the error for a request that currently
// cannot be served.
const unavailableRetryAfter = time.Second

// Resolve translates a client's request by the active plan: it determines the service, the
// class and the home regions. The home rules of the request, of its route and of its
// tenant all restrict the home regions.
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
			return request, invalidFieldError(generate.RequestID, "home", "no home rule %q", generate.Home)
		}
	}
	home, restricted := homeUnderRoute(plan, &request, route)
	if restricted && len(home) == 0 {
		return request, rejection(&request, api.CodeHomeUnavailable, 0, "the home rules that apply to the request have no region in common")
	}
	request.Home = home
	request.resolvedPlan = plan
	return request, nil
}

// unconfigured reports whether the plan contains no configuration yet.
func unconfigured(plan *Plan) bool {
	return plan == nil || plan.Version() == 0
}

func unconfiguredError(request *Request) *api.Error {
	return rejection(request, api.CodeNotReady, unavailableRetryAfter, "no configuration is active yet")
}

// requestOf returns the routing request of a client's request, without what the plan
// determines.
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
		HasTicket:    generate.Ticket != "",
		HomeRule:     generate.Home,
		Deadline:     now.Add(api.Wait(generate.WaitMS)),
		Attempt:      1,
	}
}

// classOf returns the latency class of a request: its own, else that of its route, else
// a default by the kind of the service and whether the answer is streamed.
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

// fairQueueWeight returns the weight of a request in fair queueing: the product of the
// weights of its tenant and its route.
func fairQueueWeight(plan *Plan, request *Request) float64 {
	weight := 1.0
	if tenant, ok := plan.Tenant(request.Tenant); ok && tenant.Weight > 0 {
		weight *= float64(tenant.Weight)
	}
	if route, ok := plan.Route(request.Model); ok && route.Weight > 0 {
		weight *= float64(route.Weight)
	}
	return weight
}
