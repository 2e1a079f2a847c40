package configuration

import (
	"errors"

	"github.com/deckpulley/deckpulley/routemap"
)

// http checks the part for HTTP. What a service or route allows by itself is checked
// by package routemap.
func (v *validator) http() {
	part := &v.document.HTTP
	v.atMost("http.services", len(part.Services), MaxHTTPServices)
	v.atMost("http.routes", len(part.Routes), MaxHTTPRoutes)
	translated := v.document.routeMap()
	for _, service := range translated.Services {
		path := join("http.services", service.Name)
		v.name(path, service.Name)
		if _, taken := v.document.Services[service.Name]; taken {
			v.fail(path, "%q is a service of the other kind already", service.Name)
		}
		v.routemapProblem(service.Validate(path))
	}
	for i := range translated.Routes {
		v.httpRoute(&translated.Routes[i])
	}
	v.httpPrefixes(translated.Routes)
	v.notNegative("http.limits.max_header_bytes", part.Limits.MaxHeaderBytes)
	v.notNegative("http.limits.max_body_bytes", part.Limits.MaxBodyBytes)
}

func (v *validator) httpRoute(route *routemap.Route) {
	path := join("http.routes", route.Name)
	written := v.document.HTTP.Routes[route.Name]
	v.name(path, route.Name)
	if written.Home != "" {
		reference(v, path+".home", "home", written.Home, v.document.Homes)
	}
	v.notNegative(path+".max_attempts", written.MaxAttempts)
	v.notNegative(path+".priority", written.Priority)
	known := make(map[string]bool, len(v.document.HTTP.Services))
	for name := range v.document.HTTP.Services {
		known[name] = true
	}
	v.routemapProblem(route.Validate(path, known))
}

// httpPrefixes requires that no two routes have the same host and prefix.
func (v *validator) httpPrefixes(routes []routemap.Route) {
	owner := make(map[routemap.RouteKey]string, len(routes))
	for i := range routes {
		key := routes[i].Key()
		if other, taken := owner[key]; taken {
			v.fail(join("http.routes", routes[i].Name)+".path_prefix", "route %q has the same host and prefix", other)
			continue
		}
		owner[key] = routes[i].Name
	}
}

// routemapProblem adds what package routemap has found; nil is no problem.
func (v *validator) routemapProblem(err error) {
	var problem *routemap.FieldError
	if errors.As(err, &problem) {
		v.fail(problem.Field, "%s", problem.Reason)
	}
}

func (v *validator) notNegative(path string, value int) {
	if value < 0 {
		v.fail(path, "%d is below 0", value)
	}
}

func (v *validator) atMost(path string, count, limit int) {
	if count > limit {
		v.fail(path, "%d entries, at most %d", count, limit)
	}
}
