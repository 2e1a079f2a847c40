package configuration

import (
	"time"

	"github.com/deckpulley/deckpulley/routemap"
)

// HTTP is the part of a document for services that are reached by host and path. Their
// replicas may be any HTTP servers.
type HTTP struct {
	// Services are keyed by name.
	Services map[string]HTTPService `yaml:"services,omitempty" json:"services,omitempty"`
	// Routes are keyed by name.
	Routes map[string]HTTPRoute `yaml:"routes,omitempty" json:"routes,omitempty"`
	// Limits bound the requests of clients; zero selects the gateway's own limit.
	Limits HTTPLimits `yaml:"limits,omitempty" json:"limits,omitempty"`
}

// HTTPService is a set of interchangeable replicas. See routemap.Service.
type HTTPService struct {
	// MaxConnections bounds the connections to one replica from all gateways.
	MaxConnections int `yaml:"max_connections,omitempty" json:"max_connections,omitempty" jsonschema:"minimum=0"`
	// SlowStartRate is the request rate that a replica sustains while it warms up, in
	// requests per second; 0 means no limit.
	SlowStartRate float64 `yaml:"cold_per_second,omitempty" json:"cold_per_second,omitempty" jsonschema:"minimum=0"`
	// SlowStartMS is how long a replica warms up, in ms.
	SlowStartMS int `yaml:"cold_start_ms,omitempty" json:"cold_start_ms,omitempty" jsonschema:"minimum=0"`
	// Slots is the number of requests that a replica runs concurrently; 0 selects the
	// value in the list of replicas.
	Slots int `yaml:"slots,omitempty" json:"slots,omitempty" jsonschema:"minimum=0"`
	// CacheTokens is the size of a replica's prefix cache in tokens; 0 means that the
	// service has none.
	CacheTokens int `yaml:"cache_tokens,omitempty" json:"cache_tokens,omitempty" jsonschema:"minimum=0"`
}

// HTTPRoute routes the requests that match its host and path prefix. See
// routemap.Route.
type HTTPRoute struct {
	Host         string       `yaml:"host" json:"host"`
	PathPrefix   string       `yaml:"path_prefix" json:"path_prefix"`
	Kind         string       `yaml:"kind" json:"kind" jsonschema:"enum=repeatable,enum=once,enum=stream"`
	Targets      []HTTPTarget `yaml:"targets" json:"targets" jsonschema:"minItems=1"`
	TimeoutMS    int          `yaml:"timeout_ms" json:"timeout_ms" jsonschema:"minimum=1"`
	FirstEventMS int          `yaml:"first_event_ms,omitempty" json:"first_event_ms,omitempty" jsonschema:"minimum=0"`
	// MaxAttempts bounds the number of replicas that one request is sent to; zero selects
	// 1.
	MaxAttempts int    `yaml:"max_attempts,omitempty" json:"max_attempts,omitempty" jsonschema:"minimum=0"`
	Priority    int    `yaml:"priority,omitempty" json:"priority,omitempty" jsonschema:"minimum=0"`
	Resumable   bool   `yaml:"resumable,omitempty" json:"resumable,omitempty"`
	Home        string `yaml:"home,omitempty" json:"home,omitempty"`
}

// HTTPTarget is one of the services among which a route's requests are split.
type HTTPTarget struct {
	Service string `yaml:"service" json:"service"`
	Weight  int    `yaml:"weight" json:"weight" jsonschema:"minimum=0"`
}

// HTTPLimits bound the size of a client's requests, in bytes.
type HTTPLimits struct {
	MaxHeaderBytes int `yaml:"max_header_bytes,omitempty" json:"max_header_bytes,omitempty" jsonschema:"minimum=0"`
	MaxBodyBytes   int `yaml:"max_body_bytes,omitempty" json:"max_body_bytes,omitempty" jsonschema:"minimum=0"`
}

// Bounds on the numbers of services and routes in the part for HTTP.
const (
	MaxHTTPServices = 1024
	MaxHTTPRoutes   = 20_000
)

// empty reports whether a document has no part for HTTP.
func (h *HTTP) empty() bool {
	return len(h.Services) == 0 && len(h.Routes) == 0 && h.Limits == HTTPLimits{}
}

// routeMap translates the part for HTTP into a route map, sorted by name. It leaves the
// version, which is that of the whole document, unset.
func (d *Document) routeMap() *routemap.Map {
	translated := &routemap.Map{Limits: routemap.Limits{
		MaxHeaderBytes: d.HTTP.Limits.MaxHeaderBytes,
		MaxBodyBytes:   int64(d.HTTP.Limits.MaxBodyBytes),
	}}
	for name, service := range sorted(d.HTTP.Services) {
		translated.Services = append(translated.Services, service.translate(name))
	}
	for name, route := range sorted(d.HTTP.Routes) {
		translated.Routes = append(translated.Routes, route.translate(name, d.Homes[route.Home]))
	}
	return translated
}

func (s *HTTPService) translate(name string) routemap.Service {
	return routemap.Service{
		Name:              name,
		MaxConnections:    s.MaxConnections,
		SlowStartRate:     s.SlowStartRate,
		SlowStartDuration: milliseconds(s.SlowStartMS),
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
