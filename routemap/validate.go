package routemap

import (
	"fmt"
	"strings"
)

// maxNameBytes bounds the names of routes, hosts, prefixes and services.
const maxNameBytes = 128

// FieldError is why a map is not taken. Field names the place in the map.
type FieldError struct {
	Field  string
	Reason string
}

func (p *FieldError) Error() string { return fmt.Sprintf("routemap: %s: %s", p.Field, p.Reason) }

// Validate returns a *Problem for the first thing wrong with the map.
func (m *Map) Validate() error {
	if m.Version == 0 {
		return &FieldError{Field: "version", Reason: "must be above 0"}
	}
	services, err := m.validateServices()
	if err != nil {
		return err
	}
	return m.validateRoutes(services)
}

func (m *Map) validateServices() (map[string]bool, error) {
	services := make(map[string]bool, len(m.Services))
	for i, service := range m.Services {
		field := fmt.Sprintf("services[%d]", i)
		if err := service.Validate(field); err != nil {
			return nil, err
		}
		if services[service.Name] {
			return nil, &FieldError{Field: field + ".name", Reason: fmt.Sprintf("%q stands twice", service.Name)}
		}
		services[service.Name] = true
	}
	return services, nil
}

// Validate returns a *Problem for the first thing wrong with the service. field
// is its place in the map.
func (s *Service) Validate(field string) error {
	switch {
	case !validName(s.Name):
		return &FieldError{Field: field + ".name", Reason: nameReason}
	case s.MaxConnections < 0 || s.Slots < 0 || s.CacheTokens < 0:
		return &FieldError{Field: field, Reason: "numbers must not be negative"}
	case s.SlowStartRate < 0 || s.SlowStartDuration < 0:
		return &FieldError{Field: field, Reason: "cold bounds must not be negative"}
	default:
		return nil
	}
}

// RouteKey is what only one route of a map may have.
type RouteKey struct {
	Host       string // in small letters
	PathPrefix string
}

// Key returns the route's place.
func (r *Route) Key() RouteKey {
	return RouteKey{Host: strings.ToLower(r.Host), PathPrefix: r.PathPrefix}
}

func (m *Map) validateRoutes(services map[string]bool) error {
	names := make(map[string]bool, len(m.Routes))
	placed := make(map[RouteKey]bool, len(m.Routes))
	for i := range m.Routes {
		route := &m.Routes[i]
		field := fmt.Sprintf("routes[%d]", i)
		if err := route.Validate(field, services); err != nil {
			return err
		}
		where := route.Key()
		if names[route.Name] {
			return &FieldError{Field: field + ".name", Reason: fmt.Sprintf("%q stands twice", route.Name)}
		}
		if placed[where] {
			return &FieldError{Field: field + ".path_prefix", Reason: "another route has the same host and prefix"}
		}
		names[route.Name] = true
		placed[where] = true
	}
	return nil
}

var nameReason = fmt.Sprintf("must have 1 to %d bytes", maxNameBytes)

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// Validate returns a *Problem for the first thing wrong with the route. field is
// its place in the map, services the names that its targets may have.
func (r *Route) Validate(field string, services map[string]bool) error {
	switch {
	case !validName(r.Name):
		return &FieldError{Field: field + ".name", Reason: nameReason}
	case !validName(r.Host):
		return &FieldError{Field: field + ".host", Reason: nameReason}
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return &FieldError{Field: field + ".path_prefix", Reason: "must begin and end with a slash"}
	case r.Kind != Idempotent && r.Kind != AtMostOnce && r.Kind != Stream:
		return &FieldError{Field: field + ".kind", Reason: fmt.Sprintf("%q is not known", r.Kind)}
	case r.Timeout <= 0:
		return &FieldError{Field: field + ".timeout_ms", Reason: "must be above 0"}
	case r.FirstEventTarget < 0 || r.EventGapTarget < 0 || r.MaxAttempts < 0:
		return &FieldError{Field: field, Reason: "numbers must not be negative"}
	}
	return r.validateTargets(field, services)
}

func (r *Route) validateTargets(field string, services map[string]bool) error {
	total := 0
	for i, target := range r.Targets {
		at := fmt.Sprintf("%s.targets[%d]", field, i)
		if !services[target.Service] {
			return &FieldError{Field: at + ".service", Reason: fmt.Sprintf("unknown service %q", target.Service)}
		}
		if target.Weight < 0 {
			return &FieldError{Field: at + ".weight", Reason: "must not be negative"}
		}
		total += target.Weight
	}
	if total == 0 {
		return &FieldError{Field: field + ".targets", Reason: "the weights add up to 0"}
	}
	return nil
}
