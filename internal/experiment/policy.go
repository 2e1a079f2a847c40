package experiment

import (
	"hash/fnv"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/workload"
)

// Policy is the placement policy of one gateway: it picks a replica for each request.
type Policy interface {
	// Pick returns the index of the view of the picked replica, and the number of prompt
	// tokens that the policy expects in that replica's cache.
	Pick(request *workload.Request, views []*View) (target, cached int)
	// RecordAnswer passes the number of cached tokens that Pick expected, and the number
	// that the replica found in its cache, to the policy.
	RecordAnswer(target, expected, found int)
	// RecordEvictions passes this gateway's share of the cache evictions of a replica to
	// the policy.
	RecordEvictions(target, count int)
}

// noCacheTracking implements the Record methods of Policy as no-ops, for policies that
// do not track the replicas' caches.
type noCacheTracking struct{}

func (noCacheTracking) RecordAnswer(int, int, int) {}
func (noCacheTracking) RecordEvictions(int, int)   {}

// RoundRobin picks the replicas in turn.
type RoundRobin struct {
	noCacheTracking
	next int
}

// Pick implements Policy.
func (p *RoundRobin) Pick(_ *workload.Request, views []*View) (target, cached int) {
	target = p.next % len(views)
	p.next++
	return target, 0
}

// LeastLoaded picks the replica with the fewest known requests. Ties are broken in turn.
type LeastLoaded struct {
	noCacheTracking
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

// AffinityOnly picks the replica that rendezvous hashing assigns to the request's document,
// regardless of the replica's load.
type AffinityOnly struct {
	noCacheTracking
}

// documentDepth is the index of the document among the prefixes of a request.
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

// documentKey returns the id of the request's document. Without a document it is the id of
// the last prefix, and without prefixes it is empty.
func documentKey(prefixes []api.Prefix) string {
	if len(prefixes) == 0 {
		return ""
	}
	return prefixes[min(documentDepth, len(prefixes)-1)].ID
}

// rendezvousScore returns the hash of a key and a replica name. The mixing step of
// MurmurHash3 spreads the FNV hashes of similar names.
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
