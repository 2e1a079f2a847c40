package routemap

import (
	"fmt"
	"strings"
)

// maxNameBytes is the maximum length of a host and of the name of a route or service.
const maxNameBytes = 128

// FieldError is the error of an invalid map. Field is the path to the invalid field, for
// example "routes[1].targets[0].service", and Reason describes the problem.
type FieldError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("routemap: %s: %s", e.Field, e.Reason) }

func invalid(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

func invalidName(field string) error {
	return invalid(field, "must have 1 to %d bytes", maxNameBytes)
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// Validate returns a *FieldError for the first invalid field of the map.
func (m *Map) Validate() error {
	if m.Version == 0 {
		return invalid("version", "must be above 0")
	}
	services, err := m.validateServices()
	if err != nil {
		return err
	}
	return m.validateRoutes(services)
}

// validateServices validates the services, and returns the set of their names.
func (m *Map) validateServices() (map[string]bool, error) {
	services := make(map[string]bool, len(m.Services))
	for i, service := range m.Services {
		field := fmt.Sprintf("services[%d]", i)
		if err := service.Validate(field); err != nil {
			return nil, err
		}
		if services[service.Name] {
			return nil, invalid(field+".name", "duplicate name %q", service.Name)
		}
		services[service.Name] = true
	}
	return services, nil
}

// Validate returns a *FieldError for the first invalid field of the service. field is
// the path to the service in the map.
func (s *Service) Validate(field string) error {
	switch {
	case !validName(s.Name):
		return invalidName(field + ".name")
	case s.MaxConnections < 0 || s.Slots < 0 || s.CacheTokens < 0:
		return invalid(field, "the connection limit, slots and cache tokens must not be negative")
	case s.SlowStartRate < 0 || s.SlowStartDuration < 0:
		return invalid(field, "the slow-start rate and duration must not be negative")
	default:
		return nil
	}
}

// RouteKey is the host and path prefix of a route, which is unique in a valid map.
type RouteKey struct {
	Host       string // lower case
	PathPrefix string
}

// Key returns the route's key.
func (r *Route) Key() RouteKey {
	return RouteKey{Host: strings.ToLower(r.Host), PathPrefix: r.PathPrefix}
}

func (m *Map) validateRoutes(services map[string]bool) error {
	names := make(map[string]bool, len(m.Routes))
	keys := make(map[RouteKey]bool, len(m.Routes))
	for i := range m.Routes {
		route := &m.Routes[i]
		field := fmt.Sprintf("routes[%d]", i)
		if err := route.Validate(field, services); err != nil {
			return err
		}
		key := route.Key()
		if names[route.Name] {
			return invalid(field+".name", "duplicate name %q", route.Name)
		}
		if keys[key] {
			return invalid(field+".path_prefix", "another route has the same host and prefix")
		}
		names[route.Name] = true
		keys[key] = true
	}
	return nil
}

// Validate returns a *FieldError for the first invalid field of the route. field is
// the path to the route in the map, and services is the set of known service names.
func (r *Route) Validate(field string, services map[string]bool) error {
	switch {
	case !validName(r.Name):
		return invalidName(field + ".name")
	case !validName(r.Host):
		return invalidName(field + ".host")
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return invalid(field+".path_prefix", "must begin and end with a slash")
	case r.Kind != Idempotent && r.Kind != AtMostOnce && r.Kind != Stream:
		return invalid(field+".kind", "unknown kind %q", r.Kind)
	case r.Timeout <= 0:
		return invalid(field+".timeout_ms", "must be above 0")
	case r.FirstEventTarget < 0 || r.EventGapTarget < 0 || r.MaxAttempts < 0:
		return invalid(field, "latency targets and the number of attempts must not be negative")
	}
	return r.validateTargets(field, services)
}

func (r *Route) validateTargets(field string, services map[string]bool) error {
	total := 0
	for i, target := range r.Targets {
		path := fmt.Sprintf("%s.targets[%d]", field, i)
		if !services[target.Service] {
			return invalid(path+".service", "unknown service %q", target.Service)
		}
		if target.Weight < 0 {
			return invalid(path+".weight", "must not be negative")
		}
		total += target.Weight
	}
	if total == 0 {
		return invalid(field+".targets", "the sum of the weights must be above 0")
	}
	return nil
}
