// Package routemap defines the operators' map of routes for HTTP services. A route selects
// requests by host and path prefix, and defines the services that they are forwarded to and
// the limits on attempts and time. The package also validates a map and looks up the route
// of a request. It has no side effects.
package routemap

import "time"

// Kind is the delivery semantics of a route's requests.
type Kind string

const (
	// Idempotent requests may be attempted more than once.
	Idempotent Kind = "repeatable"
	// AtMostOnce requests must not run more than once.
	AtMostOnce Kind = "once"
	// Stream requests have an event stream as response. They must not run more than
	// once unless the route is resumable.
	Stream Kind = "stream"
)

// Target is one of the services among which a route's requests are split.
type Target struct {
	Service string `cbor:"1,keyasint"`
	// Weight is relative to the sum of the weights of the route's targets. A target with
	// weight 0 gets no requests.
	Weight int `cbor:"2,keyasint"`
}

// Route defines how requests that match its host and path prefix are forwarded.
type Route struct {
	Name string `cbor:"1,keyasint"`
	// Host is compared with the host of a request, ignoring case and the port.
	Host string `cbor:"2,keyasint"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string   `cbor:"3,keyasint"`
	Kind       Kind     `cbor:"4,keyasint"`
	Targets    []Target `cbor:"5,keyasint"`
	// Timeout limits the whole time from the arrival of a request to the end of its
	// response, including the choice of a replica and all attempts.
	Timeout time.Duration `cbor:"6,keyasint"`
	// FirstEventTarget is the latency target for the first byte of a response; 0 is
	// none.
	FirstEventTarget time.Duration `cbor:"7,keyasint"`
	// EventGapTarget is the latency target between two events of a stream; 0 is none.
	// It is stored, but has no effect.
	EventGapTarget time.Duration `cbor:"8,keyasint"`
	// MaxAttempts limits the attempts of one request, including the first one.
	MaxAttempts int `cbor:"9,keyasint"`
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int `cbor:"10,keyasint"`
	// CacheAffinity requests replicas that have the prefix of a prompt in their cache.
	// It is stored, but has no effect: every prompt is placed by its prefix.
	CacheAffinity bool `cbor:"11,keyasint"`
	// Resumable is set if an event stream may continue at another replica after its last
	// complete event.
	Resumable bool `cbor:"12,keyasint"`
	// HomeRegions lists the regions that may serve the route; an empty list permits all.
	HomeRegions []string `cbor:"13,keyasint"`
}

// Retryable reports whether a request that may have run may be attempted again.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a set of interchangeable replicas.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// MaxConnections limits the connections from all gateways to one replica; 0 is no
	// limit.
	MaxConnections int `cbor:"2,keyasint"`
	// SlowStartRate is the number of requests per second that a replica can serve while
	// it is warming up; 0 is no limit.
	SlowStartRate float64 `cbor:"3,keyasint"`
	// SlowStartDuration is the time that a replica takes to warm up.
	SlowStartDuration time.Duration `cbor:"4,keyasint"`
	// Slots is the number of requests that a replica runs concurrently. If it is 0, the
	// number in the replica's own record applies.
	Slots int `cbor:"5,keyasint"`
	// CacheTokens is the size of a replica's KV cache in tokens; 0 means that the service
	// does not process prompts.
	CacheTokens int `cbor:"6,keyasint"`
	// HealthPath is stored, but has no effect: no health checks are sent.
	HealthPath string `cbor:"7,keyasint"`
}

// Limits limit the requests that clients may send.
type Limits struct {
	MaxHeaderBytes int   `cbor:"1,keyasint"`
	MaxBodyBytes   int64 `cbor:"2,keyasint"`
	// HeaderTimeout and IdleTimeout are stored, but have no effect: the gateway uses its
	// own limits.
	HeaderTimeout time.Duration `cbor:"3,keyasint"`
	IdleTimeout   time.Duration `cbor:"4,keyasint"`
}

// Map is a complete map of routes. Its Version is higher than that of the map that it
// replaces.
type Map struct {
	Version  uint64    `cbor:"1,keyasint"`
	Routes   []Route   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Limits   Limits    `cbor:"4,keyasint"`
}
