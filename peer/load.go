package peer

import "github.com/cespare/xxhash/v2"

// RegionUtilization reports the utilization of a gateway's own region to a gateway of
// another region. If it is lost or stale, requests are distributed less evenly when
// they spill over to other regions.
type RegionUtilization struct {
	Region               string             `cbor:"1,keyasint"`
	Gateway              string             `cbor:"2,keyasint"`
	Sequence             uint64             `cbor:"3,keyasint"`
	UtilizationByService map[string]float64 `cbor:"4,keyasint"` // 1 is full utilization
}

// ReplicaKey identifies a replica or a gateway in messages that are sent often. It is
// 32 bits of the hash of the id. If two replicas have the same key, their loads are
// added up as if they were one replica, which only makes placement less even.
type ReplicaKey uint32

// NewReplicaKey returns the key of the replica or gateway with this id.
func NewReplicaKey(id string) ReplicaKey { return ReplicaKey(xxhash.Sum64String(id)) }

// ReplicaLoads reports to the aggregator of a group of gateways what one of them has
// in flight at replicas, and which prompts it has placed and measured since its
// previous report. If it is lost or late, placement is less even.
type ReplicaLoads struct {
	Gateway        string              `cbor:"1,keyasint"`
	Loads          map[ReplicaKey]Load `cbor:"2,keyasint,omitempty"`
	PlacedPrompts  []PlacedPrompt      `cbor:"3,keyasint,omitempty"`
	PrefillSamples []PrefillSample     `cbor:"4,keyasint,omitempty"`
}

// LoadDigest reports the loads of the aggregator's group to the gateways of the group
// and to other aggregators. A gateway of the group also gets the loads of other groups
// and regions, but not what it reported itself. An empty digest shows that the
// aggregator is alive. If a digest is lost, placement is less even.
type LoadDigest struct {
	// Aggregator is the gateway that sends the digest.
	Aggregator string        `cbor:"1,keyasint"`
	Regions    []RegionLoads `cbor:"2,keyasint"`
}

// RegionLoads is the load that the gateways of one region, or of one group in the
// region, have in flight.
type RegionLoads struct {
	Region string `cbor:"1,keyasint"`
	// Aggregator is the gateway that added up the loads.
	Aggregator string `cbor:"2,keyasint"`
	// Complete is true if Loads has the sums of all loads; otherwise Loads is empty. The
	// fields after Loads have only what is new since the previous message.
	Complete bool                `cbor:"3,keyasint,omitempty"`
	Loads    map[ReplicaKey]Load `cbor:"4,keyasint,omitempty"`
	// PrefillTotals has, by replica, the expected prefill times of the prompts that are
	// not in PlacedPrompts.
	PrefillTotals []PrefillTotal `cbor:"5,keyasint,omitempty"`
	// PlacedPrompts are the prompts that are reported individually: long prompts, and
	// prompts with shared prefixes.
	PlacedPrompts []PlacedPrompt `cbor:"6,keyasint,omitempty"`
	// PrefillSamples has the newest sample of each replica that was measured.
	PrefillSamples []PrefillSample `cbor:"7,keyasint,omitempty"`
}

// Load is what one or more gateways have in flight at one replica.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Requests int
	Tokens   int // total of all these requests
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	l.Requests += other.Requests
	l.Tokens += other.Tokens
	return l
}

// PrefillTotal is the sum of the expected prefill times of prompts placed at a replica.
type PrefillTotal struct {
	_         struct{} `cbor:",toarray"`
	Replica   ReplicaKey
	PrefillMS int // milliseconds; negative if more was canceled than placed
}

// PlacedPrompt is one prompt placed at a replica.
type PlacedPrompt struct {
	_       struct{} `cbor:",toarray"`
	Replica ReplicaKey
	// PrefillMS is the expected prefill time in milliseconds; negative for a prompt
	// whose placement was canceled.
	PrefillMS int
	// Gateway is the key of the gateway that placed it.
	Gateway ReplicaKey
	// Prefixes are the hashes of the shared prefixes that the replica will have in its
	// cache, the outermost first. Short prefixes are omitted.
	Prefixes []uint64
}

// PrefillSample is a measurement of a replica's prefill speed, taken with a prompt that
// was the only one running on the replica.
type PrefillSample struct {
	_       struct{} `cbor:",toarray"`
	Replica ReplicaKey
	// ReferenceUS is the expected prefill time of the prompt on a reference replica, in
	// microseconds.
	ReferenceUS uint32
	// MeasuredUS is the measured time until the first event, in microseconds.
	MeasuredUS uint32
}
