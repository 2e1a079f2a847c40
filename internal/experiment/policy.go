package experiment

import (
	"hash/fnv"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/workload"
)

// Policy picks the replica for a request in one gateway.
type Policy interface {
	// Pick returns the position of the chosen view and the tokens that it
	// expects to find in that replica's cache.
	Pick(request *workload.Request, views []*View) (target, cached int)
	// Answered tells what was expected and what the replica found in its cache.
	Answered(target, expected, found int)
	// Evicted tells that a replica reports evictions, this gateway's part of them.
	Evicted(target, count int)
}

// unaware is the part of a policy that keeps no record of caches.
type unaware struct{}

func (unaware) Answered(int, int, int) {}
func (unaware) Evicted(int, int)       {}

// RoundRobin takes the replicas in turn.
type RoundRobin struct {
	unaware
	next int
}

// Pick implements Policy.
func (p *RoundRobin) Pick(_ *workload.Request, views []*View) (target, cached int) {
	target = p.next % len(views)
	p.next++
	return target, 0
}

// LeastLoaded takes the replica with the fewest known requests; equals are taken
// in turn.
type LeastLoaded struct {
	unaware
	next int
}

// Pick implements Policy.
func (p *LeastLoaded) Pick(_ *workload.Request, views []*View) (target, cached int) {
	p.next++
	target = p.next % len(views)
	for offset := range views {
		candidate := (p.next + offset) % len(views)
		if views[candidate].Busy() < views[target].Busy() {
			target = candidate
		}
	}
	return target, 0
}

// AffinityOnly takes the replica that rendezvous hashing gives the document,
// whatever its load.
type AffinityOnly struct {
	unaware
}

// documentDepth is the position of the document in a prefix sequence.
const documentDepth = 1

// Pick implements Policy.
func (AffinityOnly) Pick(request *workload.Request, views []*View) (target, cached int) {
	key := affinityKey(request.Generate.Prefixes)
	var best uint64
	for index, view := range views {
		score := hash(key, view.Name)
		if index == 0 || score > best {
			best = score
			target = index
		}
	}
	return target, 0
}

func affinityKey(prefixes []api.Prefix) string {
	if len(prefixes) == 0 {
		return ""
	}
	return prefixes[min(documentDepth, len(prefixes)-1)].ID
}

// hash mixes two names; the finalizer spreads names that differ little.
func hash(first, second string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(first))
	sum.Write([]byte{0})
	sum.Write([]byte(second))
	mixed := sum.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return mixed
}
