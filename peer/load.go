package peer

import "github.com/cespare/xxhash/v2"

// RegionUtilization reports the utilization of a gateway's own region to a gateway of
// another region. If it is lost or stale, requests spill over less evenly.
type RegionUtilization struct {
	Region               string             `cbor:"1,keyasint"`
	Gateway              string             `cbor:"2,keyasint"`
	Sequence             uint64             `cbor:"3,keyasint"`
	UtilizationByService map[string]float64 `cbor:"4,keyasint"` // 1 is fully utilized
}

// ReplicaKey identifies a replica, or a gateway, in messages that are sent often: 32
// bits of the hash of its id. Two replicas with the same key count as one in the load
// of all gateways, which only makes placement less even.
type ReplicaKey uint32

// NewReplicaKey returns the key of a replica's or gateway's id.
func NewReplicaKey(id string) ReplicaKey { return ReplicaKey(xxhash.Sum64String(id)) }

// ReplicaLoads reports to a group's aggregator what a gateway has in flight at
// replicas, and which prompts it has placed and measured since its last report. If it
// is lost or late, placement is less even.
type ReplicaLoads struct {
	Gateway        string              `cbor:"1,keyasint"`
	Loads          map[ReplicaKey]Load `cbor:"2,keyasint,omitempty"`
	PlacedPrompts  []PlacedPrompt      `cbor:"3,keyasint,omitempty"`
	PrefillSamples []PrefillSample     `cbor:"4,keyasint,omitempty"`
}

// LoadDigest is what an aggregator knows of its own group's gateways. To these it
// also sends what it knows of other groups and regions, and to each of them nothing
// that it reported itself. If a digest is lost, placement is less even.
type LoadDigest struct {
	// Aggregator is the gateway that sends the digest.
	Aggregator string        `cbor:"1,keyasint"`
	Regions    []RegionLoads `cbor:"2,keyasint"`
}

// RegionLoads is what the gateways of one region have in flight, or those of one
// group of the region.
type RegionLoads struct {
	Region string `cbor:"1,keyasint"`
	// Aggregator is the gateway that summed the loads up.
	Aggregator string `cbor:"2,keyasint"`
	// Complete says that Loads has the sums of all loads; otherwise Loads is empty. The
	// fields after it have what is new since the last message.
	Complete bool                `cbor:"3,keyasint,omitempty"`
	Loads    map[ReplicaKey]Load `cbor:"4,keyasint,omitempty"`
	// PrefillTotals has the sums of the prompts that are not in PlacedPrompts.
	PrefillTotals []PrefillTotal `cbor:"5,keyasint,omitempty"`
	// PlacedPrompts are the prompts that are sent one by one: long ones, and those with
	// shared prefixes.
	PlacedPrompts []PlacedPrompt `cbor:"6,keyasint,omitempty"`
	// PrefillSamples has the newest sample of each replica that has one.
	PrefillSamples []PrefillSample `cbor:"7,keyasint,omitempty"`
}

// Load is what one gateway, or several, have in flight at one replica.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Requests int
	Tokens   int // of all these requests
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
	// cache, the outermost first. Short prefixes are left out.
	Prefixes []uint64
}

// PrefillSample is a measurement of a replica's prefill speed, by one prompt that ran
// alone.
type PrefillSample struct {
	_       struct{} `cbor:",toarray"`
	Replica ReplicaKey
	// ReferenceUS is the prefill time of the prompt at a reference replica, in
	// microseconds.
	ReferenceUS uint32
	// MeasuredUS is the time until the first event, in microseconds.
	MeasuredUS uint32
}
