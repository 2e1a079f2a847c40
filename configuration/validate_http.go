package configuration

import (
	"errors"

	"github.com/deckpulley/deckpulley/routemap"
)

// http checks the part for HTTP. Package routemap validates each service and route by
// itself; the rest is checked here.
func (v *validator) http() {
	part := &v.document.HTTP
	v.atMost("http.services", len(part.Services), MaxHTTPServices)
	v.atMost("http.routes", len(part.Routes), MaxHTTPRoutes)
	translated := v.document.routeMap()
	for _, service := range translated.Services {
		path := joinPath("http.services", service.Name)
		v.name(path, service.Name)
		if _, taken := v.document.Services[service.Name]; taken {
			v.fail(path, "%q is already defined under services", service.Name)
		}
		v.addRoutemapError(service.Validate(path))
	}
	for i := range translated.Routes {
		v.httpRoute(&translated.Routes[i])
	}
	v.uniquePrefixes(translated.Routes)
	v.notNegative("http.limits.max_header_bytes", part.Limits.MaxHeaderBytes)
	v.notNegative("http.limits.max_body_bytes", part.Limits.MaxBodyBytes)
}

func (v *validator) httpRoute(route *routemap.Route) {
	path := joinPath("http.routes", route.Name)
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
	v.addRoutemapError(route.Validate(path, known))
}

// uniquePrefixes requires that no two routes have the same host and path prefix.
func (v *validator) uniquePrefixes(routes []routemap.Route) {
	owner := make(map[routemap.RouteKey]string, len(routes))
	for i := range routes {
		key := routes[i].Key()
		if other, taken := owner[key]; taken {
			v.fail(joinPath("http.routes", routes[i].Name)+".path_prefix", "route %q has the same host and prefix", other)
			continue
		}
		owner[key] = routes[i].Name
	}
}

// addRoutemapError adds an error of package routemap as a problem. It ignores nil.
func (v *validator) addRoutemapError(err error) {
	var problem *routemap.FieldError
	if errors.As(err, &problem) {
		v.fail(problem.Field, "%s", problem.Reason)
	}
}

func (v *validator) notNegative(path string, value int) {
	if value < 0 {
		v.fail(path, "%d is negative", value)
	}
}

func (v *validator) atMost(path string, count, limit int) {
	if count > limit {
		v.fail(path, "%d entries, at most %d", count, limit)
	}
}
