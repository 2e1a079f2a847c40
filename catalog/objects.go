package catalog

// Configuration is the header of the configuration in force: all of it but the
// objects, which have records of their own. An update that changes the
// configuration replaces it, so that of two updates on one version one fails.
type Configuration struct {
	// Version grows with each configuration, from 1.
	Version uint64 `cbor:"1,keyasint"`
	// Author is the operator who applied it.
	Author string `cbor:"2,keyasint,omitempty"`
	// Chunks are the digests of the document's chunks, in order.
	Chunks [][]byte `cbor:"4,keyasint,omitempty"`
	// Document is the text as the operator wrote it. It is not part of the record:
	// State.Configuration joins it from its chunks.
	Document string `cbor:"-"`
}

// Drain marks a replica that the platform is draining, as long as it is stored.
type Drain struct {
	// Reason is the platform's, for people.
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
	// Weight is the route's share among routes while capacity is short. Default 1.
	Weight int `cbor:"4,keyasint,omitempty"`
}

// Region is the placement rule of a region.
type Region struct {
	// Spill lists the regions that serve its overflow, the first choice first.
	Spill []string `cbor:"1,keyasint,omitempty"`
	// Capacity is its weight relative to other regions.
	Capacity int `cbor:"2,keyasint"`
}

// Zone names the region of an availability zone.
type Zone struct {
	Region string `cbor:"1,keyasint"`
}

// Evacuation marks a zone as evacuated, as long as it is stored.
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

// Tenant is the home rule and the share of a tenant.
type Tenant struct {
	// Home, if set, is the home rule of every request of the tenant.
	Home string `cbor:"1,keyasint,omitempty"`
	// Weight is the tenant's share among tenants while capacity is short.
	Weight int `cbor:"2,keyasint,omitempty"`
}

// Limits are the set points of the configuration. A field that is 0 stands for its
// default; State.Limits returns them filled in.
type Limits struct {
	// RetryRatio is the set point of retries over first attempts. Default 0.1.
	RetryRatio float64 `cbor:"1,keyasint"`
	// QueueLength bounds the requests that wait for a service in one gateway.
	// Default 64.
	QueueLength int `cbor:"2,keyasint"`
	// TargetUtilization is the set point of a replica's load over its concurrency,
	// 0 to 1. Default 0.8.
	TargetUtilization float64 `cbor:"3,keyasint"`
	// FirstTokenMS is the set point of the time to the first token, in ms. Default 920.
	FirstTokenMS int `cbor:"4,keyasint"`
	// WarmupConcurrency is the concurrency at which a replica's slow start begins.
	// Default 1.
	WarmupConcurrency int `cbor:"5,keyasint"`
	// StreamGapMS is the idle timeout between two events of a stream, in ms.
	// Default 10000.
	StreamGapMS int `cbor:"6,keyasint"`
}

// Replica is one replica as the platform lists it.
type Replica struct {
	Service string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	// Region is the zone's when the platform listed the replica; State.Replicas
	// has the region that the zone is in now.
	Region string `cbor:"3,keyasint"`
	// Address is its host:port.
	Address string `cbor:"4,keyasint"`
	// Slots is the number of requests that it runs concurrently, 0 if unknown.
	Slots int `cbor:"5,keyasint,omitempty"`
}

// ConditionState is the state of a replica that its watcher has observed.
type ConditionState string

const (
	// ConditionUp is a replica that serves at full concurrency.
	ConditionUp ConditionState = "up"
	// ConditionWarmingUp is a replica that is warming up.
	ConditionWarmingUp ConditionState = "cold"
	// ConditionDraining is a replica that finishes its requests and takes no new ones.
	ConditionDraining ConditionState = "draining"
	// ConditionDown is a replica that does not answer.
	ConditionDown ConditionState = "down"
)

// Condition is written by the one gateway that watches the replica. Each update of
// it has the condition that it replaces as prerequisite, so that a former watcher
// cannot overwrite it.
type Condition struct {
	State ConditionState `cbor:"1,keyasint"`
	// Incarnation identifies the run of the replica's process.
	Incarnation string `cbor:"2,keyasint,omitempty"`
	// WarmupGateway is the only gateway that may send requests while the replica warms
	// up.
	WarmupGateway string `cbor:"3,keyasint,omitempty"`
}

// Gateway is the member record of a gateway.
type Gateway struct {
	// Incarnation identifies the run of the gateway's process.
	Incarnation string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Region      string `cbor:"3,keyasint"`
	// PeerAddress is its host:port for the fleet's own processes.
	PeerAddress string `cbor:"4,keyasint"`
	// HTTPAddress is its host:port for callers.
	HTTPAddress string `cbor:"5,keyasint"`
	// Up is false once its lease has expired.
	Up bool `cbor:"6,keyasint"`
	// MayHoldLease is true from before its first lease is granted until its last one
	// has expired: a new primary waits only for the leases of such gateways.
	MayHoldLease bool `cbor:"7,keyasint,omitempty"`
	// LinkMbps is the bandwidth of its network link, in Mbit/s; 0 if unknown.
	LinkMbps int `cbor:"8,keyasint,omitempty"`
}

// OperationResult is the result of an operator's operation. It makes operations
// idempotent: one that is sent again with the same id gets the stored result.
type OperationResult struct {
	// Digest is a hash of the operation's content: the same id with other content is
	// a conflict.
	Digest uint64 `cbor:"1,keyasint"`
	// Accepted is false for an operation that was rejected; Code, Reason and Field
	// say why.
	Accepted bool `cbor:"2,keyasint"`
	// Version is that of the configuration after the operation.
	Version uint64 `cbor:"3,keyasint"`
	// Sequence grows with each result. The results with the lowest numbers are removed
	// when there are too many.
	Sequence uint64 `cbor:"4,keyasint"`
	// Code is one of the API's error codes, empty if accepted.
	Code string `cbor:"5,keyasint,omitempty"`
	// Reason is why it was rejected, for people.
	Reason string `cbor:"6,keyasint,omitempty"`
	// Field is the path of the field that was rejected, if it was one.
	Field string `cbor:"7,keyasint,omitempty"`
}
