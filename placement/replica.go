package placement

import "math"

const (
	// BoundedLoad is the load per slot, as a multiple of the mean, up to which a replica
	// may be chosen.
	BoundedLoad = 1.5
	// boundedLoadSlack is the number of requests added to the bound, so that it has no
	// effect at low load.
	boundedLoadSlack = 4
	// interferenceWeight is the cost of prefilling a prefix for each other request on
	// the replica, as a multiple of the prefill time: once for the delay, once for the
	// cache entries that the prefix evicts.
	interferenceWeight = 2
	// ownerCachedFraction is the fraction of the affinity link that the rendezvous
	// owner is assumed to have cached, since all gateways send the link there.
	ownerCachedFraction = 0.9
	// Costs count as tied if they differ by at most tieRatio times the expected time to
	// the first token on the cheapest candidate, plus tieSeconds.
	tieRatio   = 0.05
	tieSeconds = 0.004
	// fullBatchSeconds is the delay on a replica with all slots busy, because a larger
	// batch decodes more slowly. The delay is proportional to the share of busy slots.
	fullBatchSeconds = 0.02
)

// Candidate is one replica that may take the request.
type Candidate struct {
	// Number identifies the replica to the caller. This package does not use it.
	Number int
	// Hash is the hash of the replica's name.
	Hash uint64
	// PendingTokens is the number of tokens that the replica prefills before those of
	// the request.
	PendingTokens float64
	// PrefillRate is the number of tokens prefilled per second; 0 for replicas without
	// prefill.
	PrefillRate float64
	// ActiveRequests is the number of requests that are running, queued or on their
	// way to the replica.
	ActiveRequests float64
	// Slots is the number of requests that run concurrently at full speed.
	Slots float64
	// ServiceTime is the time for which a request occupies a slot, in seconds.
	ServiceTime float64
	// Wait is the expected time until the replica admits the request, in seconds; 0 if
	// it admits the request immediately.
	Wait float64
	// Penalty is added to the candidate's cost, but not to its expected time to the
	// first token, in seconds. It makes a replica less preferred for reasons other than
	// this time, such as failed requests.
	Penalty float64
	// CachedTokens is the number of tokens of the prompt that the replica is expected
	// to have in its KV cache.
	CachedTokens float64

	cost float64 // seconds, set by Choose
}

// Work describes a request for the choice of a replica.
type Work struct {
	// Tokens is the length of the prompt.
	Tokens float64
	// AffinityHash is the hash of the affinity link. For a request without prefixes it
	// is any hash that differs between requests.
	AffinityHash uint64
	// AffinityTokens is the number of tokens of the affinity link; 0 for a request
	// without prefixes.
	AffinityTokens float64
	// UncachedPrefillWeight is an additional cost of the uncached part of the affinity
	// link, as a multiple of its prefill time. It does not depend on the other requests
	// on the replica; 0 adds no cost.
	UncachedPrefillWeight float64
}

// TimeToFirstToken returns the expected time to the first token of a prompt, in seconds:
// the wait for admission, the pending prefill, the request's own uncached prefill and
// the wait for a slot.
func (c *Candidate) TimeToFirstToken(tokens float64) float64 {
	expected := c.Wait + fullBatchSeconds*c.ActiveRequests/max(c.Slots, 1)
	if c.PrefillRate > 0 {
		expected += (c.PendingTokens + max(0, tokens-c.CachedTokens)) / c.PrefillRate
	}
	if excess := c.ActiveRequests + 1 - c.Slots; excess > 0 {
		expected += excess * c.ServiceTime / max(c.Slots, 1)
	}
	return expected
}

// Choose returns the position of the best candidate and its expected time to the first
// token in seconds. The position is -1 if there are no candidates. It modifies the
// candidates.
//
// The candidate with the lowest cost is the best. The cost is the request's expected
// time to the first token, plus the cost that the prefill of an uncached prefix causes
// for the other requests on the replica, plus the penalty. So the more requests a
// replica has, the less likely it is to get prefixes that it has not cached. Rendezvous
// hashing breaks ties, so that gateways that do not know each other's choices still
// choose the same replica for the same chain, and different replicas for different
// chains. A replica above the bounded load is not chosen if another one is below it.
func Choose(candidates []Candidate, work Work) (position int, expected float64) {
	if len(candidates) == 0 {
		return -1, 0
	}
	assumeOwnerCached(candidates, work)
	bound := loadBound(candidates)
	lowest, cheapest := math.Inf(1), 0
	for index := range candidates {
		c := &candidates[index]
		c.cost = c.costOf(work)
		if c.cost < lowest && c.withinBound(bound) {
			lowest, cheapest = c.cost, index
		}
	}
	maxCost := lowest + tieRatio*candidates[cheapest].TimeToFirstToken(work.Tokens) + tieSeconds
	best := breakTie(candidates, work.AffinityHash, bound, maxCost)
	return best, candidates[best].TimeToFirstToken(work.Tokens)
}

// costOf returns the candidate's cost for a request, in seconds.
func (c *Candidate) costOf(work Work) float64 {
	cost := c.TimeToFirstToken(work.Tokens) + c.Penalty
	if c.PrefillRate > 0 {
		cost += (interferenceWeight*c.ActiveRequests + work.UncachedPrefillWeight) * max(0, work.AffinityTokens-c.CachedTokens) / c.PrefillRate
	}
	return cost
}

// assumeOwnerCached raises the cached tokens of the rendezvous owner of the affinity
// link, which is assumed to have most of the link in its cache.
func assumeOwnerCached(candidates []Candidate, work Work) {
	if work.AffinityTokens <= 0 {
		return
	}
	owner := &candidates[0]
	for index := range candidates {
		c := &candidates[index]
		if Score(work.AffinityHash, c.Hash) > Score(work.AffinityHash, owner.Hash) {
			owner = c
		}
	}
	owner.CachedTokens = max(owner.CachedTokens, ownerCachedFraction*work.AffinityTokens)
}

// loadBound returns the upper bound on the load of a candidate, in requests per slot.
func loadBound(candidates []Candidate) float64 {
	var active, slots float64
	for index := range candidates {
		active += candidates[index].ActiveRequests
		slots += max(candidates[index].Slots, 1)
	}
	return BoundedLoad * active / slots
}

// withinBound reports whether the candidate's load is within the bound, which is in
// requests per slot, plus boundedLoadSlack.
func (c *Candidate) withinBound(bound float64) bool {
	return c.ActiveRequests <= bound*max(c.Slots, 1)+boundedLoadSlack
}

// breakTie returns the position of the rendezvous owner of the key among the candidates
// within the bounded load whose cost is at most maxCost; 0 if there is none.
func breakTie(candidates []Candidate, key uint64, bound, maxCost float64) int {
	best := 0
	var highest uint64
	found := false
	for index := range candidates {
		c := &candidates[index]
		if c.cost > maxCost || !c.withinBound(bound) {
			continue
		}
		if score := Score(key, c.Hash); !found || score > highest {
			best, highest, found = index, score, true
		}
	}
	return best
}
