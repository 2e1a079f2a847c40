// Package routemap is the operators' map of routes for services that are
// reached by host and path: what a route allows, where it leads, and which of
// several routes a request belongs to. It is pure.
package routemap

import (
	"time"
)

// Kind says how often a request of a route may run.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "repeatable"
	// AtMostOnce is for requests of which at most one attempt may run.
	AtMostOnce Kind = "once"
	// Stream is for answers in events. Its requests run at most once unless the
	// route is resumable.
	Stream Kind = "stream"
)

// Target is one of the services that a route's requests are split over.
type Target struct {
	Service string `cbor:"1,keyasint"`
	// Weight is the share relative to the other targets. 0 is none.
	Weight int `cbor:"2,keyasint"`
}

// Route says where requests go that match its host and path prefix.
type Route struct {
	Name string `cbor:"1,keyasint"`
	// Host is compared without regard to case, and without a port.
	Host string `cbor:"2,keyasint"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string   `cbor:"3,keyasint"`
	Kind       Kind     `cbor:"4,keyasint"`
	Targets    []Target `cbor:"5,keyasint"`
	// Timeout is the longest that a request is held.
	Timeout time.Duration `cbor:"6,keyasint"`
	// FirstEventTarget is the aim for the first byte of an answer, 0 for none.
	FirstEventTarget time.Duration `cbor:"7,keyasint"`
	// EventGapTarget is the aim for the pause between two events of a stream.
	EventGapTarget time.Duration `cbor:"8,keyasint"`
	// MaxAttempts bounds the replicas that one request is sent to, at least 1.
	MaxAttempts int `cbor:"9,keyasint"`
	// Priority ranks the route; 0 is the most urgent.
	Priority int `cbor:"10,keyasint"`
	// CacheAffinity requests belong where the parts of their prompt are cached.
	CacheAffinity bool `cbor:"11,keyasint"`
	// Resumable streams may go on at another replica after an event.
	Resumable bool `cbor:"12,keyasint"`
	// HomeRegions are the only regions that may serve the route; empty is all.
	HomeRegions []string `cbor:"13,keyasint"`
}

// Retryable says whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a set of interchangeable replicas.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// MaxConnections bounds the connections to one replica from all gateways.
	MaxConnections int `cbor:"2,keyasint"`
	// SlowStartRate is the requests a second that a cold replica bears; 0 is no bound.
	SlowStartRate float64 `cbor:"3,keyasint"`
	// SlowStartDuration is how long a replica stays cold.
	SlowStartDuration time.Duration `cbor:"4,keyasint"`
	// Slots is the number of requests that a replica runs side by side; 0 leaves
	// it to the list of replicas.
	Slots int `cbor:"5,keyasint"`
	// CacheTokens is a replica's memory for prompts; 0 is a service without prompts.
	CacheTokens int    `cbor:"6,keyasint"`
	HealthPath  string `cbor:"7,keyasint"`
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int           `cbor:"1,keyasint"`
	MaxBodyBytes   int64         `cbor:"2,keyasint"`
	HeaderTimeout  time.Duration `cbor:"3,keyasint"`
	IdleTimeout    time.Duration `cbor:"4,keyasint"`
}

// Map is a whole map of routes. Version is above that of the map it replaces.
type Map struct {
	Version  uint64    `cbor:"1,keyasint"`
	Routes   []Route   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Limits   Limits    `cbor:"4,keyasint"`
}
