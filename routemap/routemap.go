// Package routemap is the operators' map of routes for services that are
// reached by host and path: what a route allows, where it leads, and which of
// several routes a request matches. It is pure.
package routemap

import "time"

// Kind is the delivery semantics of a route's requests.
type Kind string

const (
	// Idempotent requests may be attempted more than once.
	Idempotent Kind = "repeatable"
	// AtMostOnce requests run in at most one attempt.
	AtMostOnce Kind = "once"
	// Stream requests are answered in events. They run at most once unless the
	// route is resumable.
	Stream Kind = "stream"
)

// Target is one of the services that a route's requests are split over.
type Target struct {
	Service string `cbor:"1,keyasint"`
	// Weight is relative to the sum of the route's weights; 0 is no requests.
	Weight int `cbor:"2,keyasint"`
}

// Route says where requests are forwarded that match its host and path prefix.
type Route struct {
	Name string `cbor:"1,keyasint"`
	// Host is compared without regard to case, and without a port.
	Host string `cbor:"2,keyasint"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string   `cbor:"3,keyasint"`
	Kind       Kind     `cbor:"4,keyasint"`
	Targets    []Target `cbor:"5,keyasint"`
	// Timeout limits the whole of a request from its arrival: choosing a replica, every
	// attempt, and the answer to its end.
	Timeout time.Duration `cbor:"6,keyasint"`
	// FirstEventTarget is the latency target for the first byte of an answer; 0 is
	// none.
	FirstEventTarget time.Duration `cbor:"7,keyasint"`
	// EventGapTarget is the latency target between two events of a stream; 0 is none.
	// It is stored, but nothing acts on it.
	EventGapTarget time.Duration `cbor:"8,keyasint"`
	// MaxAttempts limits the attempts of one request, the first included.
	MaxAttempts int `cbor:"9,keyasint"`
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int `cbor:"10,keyasint"`
	// CacheAffinity asks for replicas that have the prefix of a prompt in their cache.
	// It is stored, but nothing acts on it: every prompt is placed by its prefix.
	CacheAffinity bool `cbor:"11,keyasint"`
	// Resumable streams may continue at another replica after an event.
	Resumable bool `cbor:"12,keyasint"`
	// HomeRegions are the only regions that may serve the route; empty is all.
	HomeRegions []string `cbor:"13,keyasint"`
}

// Retryable reports whether a request may be attempted more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a set of interchangeable replicas.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// MaxConnections limits the connections to one replica from all gateways.
	MaxConnections int `cbor:"2,keyasint"`
	// SlowStartRate is the requests per second that a replica can take while it warms
	// up; 0 is no limit.
	SlowStartRate float64 `cbor:"3,keyasint"`
	// SlowStartDuration is how long a replica warms up.
	SlowStartDuration time.Duration `cbor:"4,keyasint"`
	// Slots is the number of requests that a replica runs concurrently; 0 leaves it
	// to the list of replicas.
	Slots int `cbor:"5,keyasint"`
	// CacheTokens is the size of a replica's KV cache in tokens; 0 is a service without
	// prompts.
	CacheTokens int `cbor:"6,keyasint"`
	// HealthPath is stored, but nothing acts on it: no health checks are sent.
	HealthPath string `cbor:"7,keyasint"`
}

// Limits limit what a client may send.
type Limits struct {
	MaxHeaderBytes int   `cbor:"1,keyasint"`
	MaxBodyBytes   int64 `cbor:"2,keyasint"`
	// HeaderTimeout and IdleTimeout are stored, but nothing acts on them: the gateway
	// has limits of its own.
	HeaderTimeout time.Duration `cbor:"3,keyasint"`
	IdleTimeout   time.Duration `cbor:"4,keyasint"`
}

// Map is a complete map of routes. Its Version is higher than that of the map it
// replaces.
type Map struct {
	Version  uint64    `cbor:"1,keyasint"`
	Routes   []Route   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Limits   Limits    `cbor:"4,keyasint"`
}
