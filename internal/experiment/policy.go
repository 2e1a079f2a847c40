package experiment

import (
	"hash/fnv"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/workload"
)

// Policy picks the replica for a request in one gateway.
type Policy interface {
	// Pick returns the index of the picked view and the number of tokens that the policy
	// expects in that replica's cache.
	Pick(request *workload.Request, views []*View) (target, cached int)
	// RecordAnswer reports the expected number of cached tokens and the number that the
	// replica found.
	RecordAnswer(target, expected, found int)
	// RecordEvictions reports this gateway's share of the evictions of a replica.
	RecordEvictions(target, count int)
}

// withoutCacheRecord implements the methods of Policy that report on caches, for policies
// that do not use them.
type withoutCacheRecord struct{}

func (withoutCacheRecord) RecordAnswer(int, int, int) {}
func (withoutCacheRecord) RecordEvictions(int, int)   {}

// RoundRobin picks the replicas in turn.
type RoundRobin struct {
	withoutCacheRecord
	next int
}

// Pick implements Policy.
func (p *RoundRobin) Pick(_ *workload.Request, views []*View) (target, cached int) {
	target = p.next % len(views)
	p.next++
	return target, 0
}

// LeastLoaded picks the replica with the fewest known requests, and in turn among equals.
type LeastLoaded struct {
	withoutCacheRecord
	next int
}

// Pick implements Policy.
func (p *LeastLoaded) Pick(_ *workload.Request, views []*View) (target, cached int) {
	p.next++
	target = p.next % len(views)
	for offset := range views {
		candidate := (p.next + offset) % len(views)
		if views[candidate].ActiveRequests() < views[target].ActiveRequests() {
			target = candidate
		}
	}
	return target, 0
}

// AffinityOnly picks the replica that rendezvous hashing assigns to the document,
// regardless of its load.
type AffinityOnly struct {
	withoutCacheRecord
}

// documentDepth is the index of the document in the prefixes of a request.
const documentDepth = 1

// Pick implements Policy.
func (AffinityOnly) Pick(request *workload.Request, views []*View) (target, cached int) {
	key := documentKey(request.Generate.Prefixes)
	var best uint64
	for index, view := range views {
		score := rendezvousScore(key, view.Name)
		if index == 0 || score > best {
			best = score
			target = index
		}
	}
	return target, 0
}

// documentKey returns the id of the document, or of the last prefix if there is none.
func documentKey(prefixes []api.Prefix) string {
	if len(prefixes) == 0 {
		return ""
	}
	return prefixes[min(documentDepth, len(prefixes)-1)].ID
}

// rendezvousScore hashes two names. The finalizer of MurmurHash3 spreads the hashes of
// names that differ little.
func rendezvousScore(key, replica string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(key))
	sum.Write([]byte{0})
	sum.Write([]byte(replica))
	mixed := sum.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return mixed
}
