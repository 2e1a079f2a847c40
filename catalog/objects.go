package catalog

// Configuration is the header of the current configuration: everything but the objects,
// which have records of their own. Every update of the configuration replaces the
// header, so that of two updates based on the same version one fails.
type Configuration struct {
	// Version grows with each configuration, from 1.
	Version uint64 `cbor:"1,keyasint"`
	// Author is the operator who applied it.
	Author string `cbor:"2,keyasint,omitempty"`
	// Chunks are the digests of the document's chunks, in order.
	Chunks [][]byte `cbor:"4,keyasint,omitempty"`
	// Document is the text as the operator wrote it. It is not part of the record:
	// State.Configuration assembles it from the chunks.
	Document string `cbor:"-"`
}

// Drain marks a replica as being drained by the platform for as long as it is stored.
type Drain struct {
	// Reason is the platform's human-readable reason.
	Reason string `cbor:"1,keyasint,omitempty"`
}

// Service is a set of interchangeable replicas.
type Service struct {
	// Kind is "model" or "web".
	Kind string `cbor:"1,keyasint"`
	// MaxConcurrency bounds the requests in flight per replica.
	MaxConcurrency int `cbor:"2,keyasint"`
}

// Route maps a model name that callers use to a service.
type Route struct {
	Service string `cbor:"1,keyasint"`
	// Class is the latency class of requests that name none.
	Class string `cbor:"2,keyasint,omitempty"`
	// Home, if set, is the home rule of every request of the route.
	Home string `cbor:"3,keyasint,omitempty"`
	// Weight is the route's relative share of the capacity when it is scarce. Default 1.
	Weight int `cbor:"4,keyasint,omitempty"`
}

// Region is the placement rule of a region.
type Region struct {
	// Spill lists the regions that serve its overflow, in order of preference.
	Spill []string `cbor:"1,keyasint,omitempty"`
	// Capacity is the region's weight relative to other regions.
	Capacity int `cbor:"2,keyasint"`
}

// Zone names the region of an availability zone.
type Zone struct {
	Region string `cbor:"1,keyasint"`
}

// Evacuation marks a zone as evacuated for as long as it is stored.
type Evacuation struct {
	// Author is the operator who evacuated the zone.
	Author string `cbor:"1,keyasint,omitempty"`
	// OperationID is the id of the operation that evacuated it.
	OperationID string `cbor:"2,keyasint"`
}

// Client maps a client group to the region that serves it.
type Client struct {
	Region string `cbor:"1,keyasint"`
}

// Home is a home rule: the only regions that may run the requests bound to it.
type Home struct {
	Regions []string `cbor:"1,keyasint"`
}

// Tenant is the home rule and the weight of a tenant.
type Tenant struct {
	// Home, if set, is the home rule of every request of the tenant.
	Home string `cbor:"1,keyasint,omitempty"`
	// Weight is the tenant's relative share of the capacity when it is scarce.
	Weight int `cbor:"2,keyasint,omitempty"`
}

// Limits are the set points of the configuration. In a field, zero selects the default;
// State.Limits returns the limits with defaults applied.
type Limits struct {
	// RetryRatio is the set point of the ratio of retries to first attempts. Default 0.1.
	RetryRatio float64 `cbor:"1,keyasint"`
	// QueueLength bounds the requests that one gateway queues for a service. Default 64.
	QueueLength int `cbor:"2,keyasint"`
	// TargetUtilization is the set point of the ratio of a replica's load to its
	// concurrency, 0 to 1. Default 0.8.
	TargetUtilization float64 `cbor:"3,keyasint"`
	// FirstTokenMS is the set point of the time to the first token, in ms. Default 920.
	FirstTokenMS int `cbor:"4,keyasint"`
	// WarmupConcurrency is the concurrency at which a replica's slow start begins.
	// Default 1.
	WarmupConcurrency int `cbor:"5,keyasint"`
	// StreamGapMS is the timeout between two events of a stream, in ms. Default 10000.
	StreamGapMS int `cbor:"6,keyasint"`
}

// Replica is a replica as listed by the platform.
type Replica struct {
	Service string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	// Region is the region of the zone at the time when the platform listed the replica.
	// State.Replicas returns the zone's current region instead.
	Region string `cbor:"3,keyasint"`
	// Address is the host:port of the replica.
	Address string `cbor:"4,keyasint"`
	// Slots is the number of requests that the replica runs concurrently, 0 if unknown.
	Slots int `cbor:"5,keyasint,omitempty"`
}

// ConditionState is the state of a replica as observed by the gateway that watches it.
type ConditionState string

const (
	// ConditionUp is a replica that serves at full concurrency.
	ConditionUp ConditionState = "up"
	// ConditionWarmingUp is a replica that is warming up.
	ConditionWarmingUp ConditionState = "cold"
	// ConditionDraining is a replica that completes its requests and accepts no new ones.
	ConditionDraining ConditionState = "draining"
	// ConditionDown is a replica that does not respond.
	ConditionDown ConditionState = "down"
)

// Condition is the condition of a replica, written by the one gateway that watches it.
// Each update requires as its prerequisite the condition that it replaces, so that a
// gateway that no longer watches the replica cannot overwrite a newer condition.
type Condition struct {
	State ConditionState `cbor:"1,keyasint"`
	// Incarnation identifies the run of the replica's process.
	Incarnation string `cbor:"2,keyasint,omitempty"`
	// WarmupGateway is the only gateway that may send requests to the replica while it
	// warms up.
	WarmupGateway string `cbor:"3,keyasint,omitempty"`
}

// Gateway is the member record of a gateway.
type Gateway struct {
	// Incarnation identifies the run of the gateway's process.
	Incarnation string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Region      string `cbor:"3,keyasint"`
	// PeerAddress is the gateway's host:port for other processes of the fleet.
	PeerAddress string `cbor:"4,keyasint"`
	// HTTPAddress is the gateway's host:port for callers.
	HTTPAddress string `cbor:"5,keyasint"`
	// Up is false once the gateway's lease has expired.
	Up bool `cbor:"6,keyasint"`
	// MayHoldLease is true from before the gateway's first lease is granted until its
	// last one has expired: a new primary waits only for the leases of such gateways.
	MayHoldLease bool `cbor:"7,keyasint,omitempty"`
	// LinkMbps is the bandwidth of the gateway's network link, in Mbit/s; 0 if unknown.
	LinkMbps int `cbor:"8,keyasint,omitempty"`
}

// OperationResult is the stored result of an operator's operation. It makes operations
// idempotent: an operation that is resent with the same id gets the stored result.
type OperationResult struct {
	// Digest is a hash of the operation's content: the same id with other content is
	// a conflict.
	Digest uint64 `cbor:"1,keyasint"`
	// Accepted is false for an operation that was refused; Code, Reason and Field
	// state why.
	Accepted bool `cbor:"2,keyasint"`
	// Version is the version of the configuration after the operation.
	Version uint64 `cbor:"3,keyasint"`
	// Sequence increases with each result. When there are too many results, those with
	// the lowest numbers are removed.
	Sequence uint64 `cbor:"4,keyasint"`
	// Code is one of the API's error codes, empty if accepted.
	Code string `cbor:"5,keyasint,omitempty"`
	// Reason is the human-readable reason of a refusal.
	Reason string `cbor:"6,keyasint,omitempty"`
	// Field is the path of the invalid field, if a single field is invalid.
	Field string `cbor:"7,keyasint,omitempty"`
}
