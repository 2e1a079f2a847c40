package configuration

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/routemap"
)

// HTTP is the part of a document for services that are reached by host and path
// and run on replicas of any HTTP kind.
type HTTP struct {
	// Services by name.
	Services map[string]HTTPService `yaml:"services,omitempty" json:"services,omitempty"`
	// Routes by name.
	Routes map[string]HTTPRoute `yaml:"routes,omitempty" json:"routes,omitempty"`
	// Limits bound what a client may send; zero is the gateway's own bound.
	Limits HTTPLimits `yaml:"limits,omitempty" json:"limits,omitempty"`
}

// HTTPService is one set of interchangeable replicas.
type HTTPService struct {
	MaxConnections int     `yaml:"max_connections,omitempty" json:"max_connections,omitempty" jsonschema:"minimum=0"`
	ColdPerSecond  float64 `yaml:"cold_per_second,omitempty" json:"cold_per_second,omitempty" jsonschema:"minimum=0"`
	ColdStartMS    int     `yaml:"cold_start_ms,omitempty" json:"cold_start_ms,omitempty" jsonschema:"minimum=0"`
	Slots          int     `yaml:"slots,omitempty" json:"slots,omitempty" jsonschema:"minimum=0"`
	CacheTokens    int     `yaml:"cache_tokens,omitempty" json:"cache_tokens,omitempty" jsonschema:"minimum=0"`
}

// HTTPRoute says where requests go that match its host and path prefix.
type HTTPRoute struct {
	Host         string       `yaml:"host" json:"host"`
	PathPrefix   string       `yaml:"path_prefix" json:"path_prefix"`
	Kind         string       `yaml:"kind" json:"kind" jsonschema:"enum=repeatable,enum=once,enum=stream"`
	Targets      []HTTPTarget `yaml:"targets" json:"targets" jsonschema:"minItems=1"`
	TimeoutMS    int          `yaml:"timeout_ms" json:"timeout_ms" jsonschema:"minimum=1"`
	FirstEventMS int          `yaml:"first_event_ms,omitempty" json:"first_event_ms,omitempty" jsonschema:"minimum=0"`
	MaxAttempts  int          `yaml:"max_attempts,omitempty" json:"max_attempts,omitempty" jsonschema:"minimum=0"`
	Priority     int          `yaml:"priority,omitempty" json:"priority,omitempty" jsonschema:"minimum=0"`
	Resumable    bool         `yaml:"resumable,omitempty" json:"resumable,omitempty"`
	Home         string       `yaml:"home,omitempty" json:"home,omitempty"`
}

// HTTPTarget is one of the services that a route's requests are split over.
type HTTPTarget struct {
	Service string `yaml:"service" json:"service"`
	Weight  int    `yaml:"weight" json:"weight" jsonschema:"minimum=0"`
}

// HTTPLimits bound what a client may send.
type HTTPLimits struct {
	MaxHeaderBytes int `yaml:"max_header_bytes,omitempty" json:"max_header_bytes,omitempty" jsonschema:"minimum=0"`
	MaxBodyBytes   int `yaml:"max_body_bytes,omitempty" json:"max_body_bytes,omitempty" jsonschema:"minimum=0"`
}

// Bounds of the part for HTTP.
const (
	MaxHTTPServices = 1024
	MaxHTTPRoutes   = 20_000
)

// empty says that a document has no part for HTTP.
func (h *HTTP) empty() bool {
	return len(h.Services) == 0 && len(h.Routes) == 0 && h.Limits == HTTPLimits{}
}

// routeMap translates the part for HTTP, in the order of the names. Its version
// is that of the whole document and not set here.
func (d *Document) routeMap() *routemap.Map {
	translated := &routemap.Map{Limits: routemap.Limits{
		MaxHeaderBytes: d.HTTP.Limits.MaxHeaderBytes,
		MaxBodyBytes:   int64(d.HTTP.Limits.MaxBodyBytes),
	}}
	for _, name := range slices.Sorted(maps.Keys(d.HTTP.Services)) {
		service := d.HTTP.Services[name]
		translated.Services = append(translated.Services, service.translate(name))
	}
	for _, name := range slices.Sorted(maps.Keys(d.HTTP.Routes)) {
		route := d.HTTP.Routes[name]
		translated.Routes = append(translated.Routes, route.translate(name, d.Homes[route.Home]))
	}
	return translated
}

func (s *HTTPService) translate(name string) routemap.Service {
	return routemap.Service{
		Name:              name,
		MaxConnections:    s.MaxConnections,
		SlowStartRate:     s.ColdPerSecond,
		SlowStartDuration: milliseconds(s.ColdStartMS),
		Slots:             s.Slots,
		CacheTokens:       s.CacheTokens,
	}
}

func (r *HTTPRoute) translate(name string, homes []string) routemap.Route {
	route := routemap.Route{
		Name:             name,
		Host:             r.Host,
		PathPrefix:       r.PathPrefix,
		Kind:             routemap.Kind(r.Kind),
		Timeout:          milliseconds(r.TimeoutMS),
		FirstEventTarget: milliseconds(r.FirstEventMS),
		MaxAttempts:      max(r.MaxAttempts, 1),
		Priority:         r.Priority,
		Resumable:        r.Resumable,
		HomeRegions:      homes,
	}
	for _, target := range r.Targets {
		route.Targets = append(route.Targets, routemap.Target{Service: target.Service, Weight: target.Weight})
	}
	return route
}

func milliseconds(count int) time.Duration { return time.Duration(count) * time.Millisecond }

// http checks the part for HTTP.
func (v *validation) http() {
	part := &v.document.HTTP
	v.atMost("http.services", len(part.Services), MaxHTTPServices)
	v.atMost("http.routes", len(part.Routes), MaxHTTPRoutes)
	translated := v.document.routeMap()
	for _, service := range translated.Services {
		path := join("http.services", service.Name)
		v.name(path, service.Name)
		if _, taken := v.document.Services[service.Name]; taken {
			v.problem(path, "%q is a service of the other kind already", service.Name)
		}
		v.routemapProblem(service.Validate(path))
	}
	for i := range translated.Routes {
		v.httpRoute(&translated.Routes[i])
	}
	v.httpPlaces(translated.Routes)
	v.notNegative("http.limits.max_header_bytes", part.Limits.MaxHeaderBytes)
	v.notNegative("http.limits.max_body_bytes", part.Limits.MaxBodyBytes)
}

func (v *validation) httpRoute(route *routemap.Route) {
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

// httpPlaces requires that no two routes have the same host and prefix.
func (v *validation) httpPlaces(routes []routemap.Route) {
	taken := make(map[routemap.RouteKey]string, len(routes))
	for i := range routes {
		place := routes[i].Key()
		if other, found := taken[place]; found {
			v.problem(join("http.routes", routes[i].Name)+".path_prefix", "route %q has the same host and prefix", other)
			continue
		}
		taken[place] = routes[i].Name
	}
}

// routemapProblem reports what package routemap found wrong, nil for nothing.
func (v *validation) routemapProblem(err error) {
	var found *routemap.FieldError
	if errors.As(err, &found) {
		v.problem(found.Field, "%s", found.Reason)
	}
}

func (v *validation) notNegative(path string, value int) {
	if value < 0 {
		v.problem(path, "%d is below 0", value)
	}
}

func (v *validation) atMost(path string, count, limit int) {
	if count > limit {
		v.problem(path, "%d entries, at most %d", count, limit)
	}
}
