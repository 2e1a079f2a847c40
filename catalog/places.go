// Package catalog defines the records that deckpulley keeps in its registry: the
// names, the kinds and the typed data of each. It translates between records
// and types and decides nothing.
package catalog

import (
	"github.com/deckpulley/deckpulley/registry"
)

// Apex is the name of the one table of a fleet.
const Apex registry.Name = "places."

// Kinds of records beside the head (SOA) and member (NS) records. The numbers are
// stored and sent: one is never changed or used again.
const (
	TypeConfiguration registry.Type = 1024 // "configuration.places."
	TypeService       registry.Type = 1025 // "<service>.services.places."
	TypeRoute         registry.Type = 1026 // "<model>.routes.places."
	TypeRegion        registry.Type = 1027 // "<region>.regions.places."
	TypeZone          registry.Type = 1028 // "<zone>.zones.places.": its region
	TypeEvacuation    registry.Type = 1029 // "<zone>.zones.places.": present while evacuated
	TypeClient        registry.Type = 1030 // "<client>.clients.places."
	TypeHome          registry.Type = 1031 // "<home>.homes.places."
	TypeTenant        registry.Type = 1032 // "<tenant>.tenants.places."
	TypeLimits        registry.Type = 1033 // "configuration.places.": set points
	TypeReplica       registry.Type = 1034 // "<replica>.replicas.places.": from the platform's list
	TypeDrain         registry.Type = 1035 // "<replica>.replicas.places.": the platform wants it drained
	TypeCondition     registry.Type = 1036 // "<replica>.replicas.places.": from its watcher
	TypeGateway       registry.Type = 1037 // "<gateway>.gateways.places.": member record of a gateway
	TypeOperation     registry.Type = 1038 // "<order id>.orders.places.": answer to an order
	TypeDocumentChunk registry.Type = 1039 // "<digest>.documents.places.": a chunk of the document
	TypePathRoute     registry.Type = 1040 // "<route>.pathroutes.places.": a route by host and path
	TypePool          registry.Type = 1041 // "<service>.services.places.": a service that such routes lead to
	TypeRequestLimits registry.Type = 1042 // "configuration.places.": what clients of such routes may send
)

// Configuration is the version marker of the configuration in the table.
type Configuration struct {
	Version uint64 `cbor:"1,keyasint"`
	Author  string `cbor:"2,keyasint,omitempty"`
	// Chunks are the digests of the document's chunks, in order.
	Chunks [][]byte `cbor:"4,keyasint,omitempty"`
	// Document is the text as handed over, for reading back. It is not part of the
	// record: Contents.ConfigurationRecord joins it from its chunks.
	Document string `cbor:"-"`
}

// Drain marks a replica that the platform wants drained.
type Drain struct {
	// Reason is for people.
	Reason string `cbor:"1,keyasint,omitempty"`
}

// Service is a set of interchangeable replicas.
type Service struct {
	// Kind is "model" or "web".
	Kind string `cbor:"1,keyasint"`
	// MaxConcurrency bounds requests in flight per replica.
	MaxConcurrency int `cbor:"2,keyasint"`
}

// Route maps a model name that callers use to a service.
type Route struct {
	Service string `cbor:"1,keyasint"`
	// Class is the latency class of requests that name none.
	Class string `cbor:"2,keyasint,omitempty"`
	// Home, if set, binds every request of the route to a home rule.
	Home string `cbor:"3,keyasint,omitempty"`
	// Weight is the fair share among routes when short. Default 1.
	Weight int `cbor:"4,keyasint,omitempty"`
}

// Region says how a region takes part.
type Region struct {
	// Spill lists the regions that take its overflow, in order.
	Spill []string `cbor:"1,keyasint,omitempty"`
	// Capacity is its weight relative to others.
	Capacity int `cbor:"2,keyasint"`
}

// Zone names the region of an availability zone.
type Zone struct {
	Region string `cbor:"1,keyasint"`
}

// Evacuation marks a zone as evacuated.
type Evacuation struct {
	Author      string `cbor:"1,keyasint,omitempty"`
	OperationID string `cbor:"2,keyasint"`
}

// Client maps a client group to the region that serves it.
type Client struct {
	Region string `cbor:"1,keyasint"`
}

// Home lists the only regions that may run requests bound to it.
type Home struct {
	Regions []string `cbor:"1,keyasint"`
}

// Tenant binds a tenant to a home and a share.
type Tenant struct {
	Home   string `cbor:"1,keyasint,omitempty"`
	Weight int    `cbor:"2,keyasint,omitempty"`
}

// Limits are the set points of the configuration.
type Limits struct {
	// RetryRatio is the aim for retries over first attempts. Default 0.1.
	RetryRatio float64 `cbor:"1,keyasint"`
	// QueueLength bounds the queue of a service in one gateway. Default 64.
	QueueLength int `cbor:"2,keyasint"`
	// TargetUtilization is the set point of load per replica. Default 0.8.
	TargetUtilization float64 `cbor:"3,keyasint"`
	// FirstTokenMS is the set point for the first token, in ms. Default 920.
	FirstTokenMS int `cbor:"4,keyasint"`
	// WarmupConcurrency is the first step of a cold replica's ramp. Default 1.
	WarmupConcurrency int `cbor:"5,keyasint"`
	// StreamGapMS is the longest wait for the next event of a stream. Default 10000.
	StreamGapMS int `cbor:"6,keyasint"`
}

// Replica is one replica as listed by the platform.
type Replica struct {
	Service string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Region  string `cbor:"3,keyasint"`
	Address string `cbor:"4,keyasint"`
	// Slots is the number of requests that it runs side by side, 0 if not told.
	Slots int `cbor:"5,keyasint,omitempty"`
}

// ConditionState is a replica's slow state as its watcher sees it.
type ConditionState string

const (
	ConditionUp        ConditionState = "up"
	ConditionWarmingUp ConditionState = "cold"
	ConditionDraining  ConditionState = "draining"
	ConditionDown      ConditionState = "down"
)

// Condition is written by the replica's one watcher, conditional on the
// condition that it replaces.
type Condition struct {
	State ConditionState `cbor:"1,keyasint"`
	// Incarnation is the replica's.
	Incarnation string `cbor:"2,keyasint,omitempty"`
	// WarmupGateway is the one gateway that may place requests while State is cold.
	WarmupGateway string `cbor:"3,keyasint,omitempty"`
}

// Gateway is the member record of a gateway.
type Gateway struct {
	Incarnation string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Region      string `cbor:"3,keyasint"`
	PeerAddress string `cbor:"4,keyasint"`
	HTTPAddress string `cbor:"5,keyasint"`
	// Up is false once its lease has run out.
	Up bool `cbor:"6,keyasint"`
	// MayHoldLease is true from before its first lease until its last one has run out:
	// a new primary waits only for gateways of which it is true.
	MayHoldLease bool `cbor:"7,keyasint,omitempty"`
	// LinkMbps is what its network link carries, in Mbit/s; 0 is not told.
	LinkMbps int `cbor:"8,keyasint,omitempty"`
}

// OperationResult keeps the first answer to an order.
type OperationResult struct {
	// Digest is a hash of the order's content: the same id with other content is a conflict.
	Digest   uint64 `cbor:"1,keyasint"`
	Accepted bool   `cbor:"2,keyasint"`
	Version  uint64 `cbor:"3,keyasint"`
	// Sequence orders the answers by age; the oldest beyond the kept number are removed.
	Sequence uint64 `cbor:"4,keyasint"`
	Code     string `cbor:"5,keyasint,omitempty"`
	Reason   string `cbor:"6,keyasint,omitempty"`
	Field    string `cbor:"7,keyasint,omitempty"`
}
