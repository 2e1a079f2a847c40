package placement

import "math"

const (
	// BoundedLoad is the multiple of the mean load per slot up to which a replica is
	// chosen for the prefixes that belong to it.
	BoundedLoad = 1.5
	// boundedLoadSlack is the number of requests added to the bound, so that it does
	// not matter at low load.
	boundedLoadSlack = 4
	// interferenceWeight weighs the time that the prefill of a prefix takes from each
	// request on the replica: once for the delay, once for what the prefix evicts.
	interferenceWeight = 2
	// ownerCachedFraction is the fraction of the affinity link that the rendezvous
	// owner is assumed to have cached, since all gateways send there.
	ownerCachedFraction = 0.9
	// tieRatio is the difference that counts as a tie, as a fraction of the expected
	// first token of the cheapest candidate. tieSeconds is added to it.
	tieRatio   = 0.05
	tieSeconds = 0.004
	// fullBatchSeconds is the delay on a replica with all slots busy, and in
	// proportion below that: a larger batch decodes more slowly.
	fullBatchSeconds = 0.02
)

// Candidate is one replica that may take the request.
type Candidate struct {
	// Number belongs to the caller.
	Number int
	// Hash is the hash of the replica's name.
	Hash uint64
	// PendingTokens is the number of tokens to prefill before the request's own.
	PendingTokens float64
	// PrefillRate is the number of tokens prefilled per second; 0 for replicas without
	// prefill.
	PrefillRate float64
	// ActiveRequests is the number of requests that are running, queued or on their
	// way to the replica.
	ActiveRequests float64
	// Slots is the number of requests that run concurrently at full speed.
	Slots float64
	// ServiceTime is the time that a request occupies a slot, in seconds.
	ServiceTime float64
	// Wait is the expected time until the replica admits the request, in seconds; 0 if
	// it does so now.
	Wait float64
	// Penalty is added to the candidate's cost, but not to its expected first token,
	// in seconds. It keeps requests away from a replica that fails them.
	Penalty float64
	// CachedTokens is the number of tokens of the prompt that the replica is expected
	// to have in its KV cache.
	CachedTokens float64

	cost float64 // seconds, set by Choose
}

// Work is what the choice of a replica needs to know of a request.
type Work struct {
	// Tokens is the length of the prompt.
	Tokens float64
	// AffinityHash is the hash of the affinity link. Without prefixes it is any hash
	// that spreads requests.
	AffinityHash uint64
	// AffinityTokens is the number of tokens of the affinity link; 0 without prefixes.
	AffinityTokens float64
	// UncachedPrefillWeight is the cost of the prefill of an affinity link that is not
	// cached, on top of what it delays, as a multiple of the time that it takes. 0
	// adds none.
	UncachedPrefillWeight float64
}

// FirstToken returns the expected time to the first token of a prompt, in seconds:
// the wait for admission, the pending prefill, the request's own uncached prefill and
// the wait for a slot.
func (c *Candidate) FirstToken(tokens float64) float64 {
	expected := c.Wait + fullBatchSeconds*c.ActiveRequests/max(c.Slots, 1)
	if c.PrefillRate > 0 {
		expected += (c.PendingTokens + max(0, tokens-c.CachedTokens)) / c.PrefillRate
	}
	if excess := c.ActiveRequests + 1 - c.Slots; excess > 0 {
		expected += excess * c.ServiceTime / max(c.Slots, 1)
	}
	return expected
}

// Choose returns the position of the best candidate, -1 if there are no candidates,
// and its expected time to the first token in seconds. It modifies the candidates.
//
// The lowest cost wins: the request's own expected first token, and what the prefill
// of a prefix that is not cached costs the other requests on the replica. On an idle
// replica the cost is the first token alone; the more requests a replica has, the
// less it attracts prefixes that it has not cached. Rendezvous hashing breaks ties,
// so that gateways that do not know of each other's decisions choose the same replica
// for a chain and spread different chains. A replica beyond the bounded load is not
// chosen while another one is below it.
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
	maxCost := lowest + tieRatio*candidates[cheapest].FirstToken(work.Tokens) + tieSeconds
	best := breakTie(candidates, work.AffinityHash, bound, maxCost)
	return best, candidates[best].FirstToken(work.Tokens)
}

// costOf returns the candidate's cost for a request, in seconds.
func (c *Candidate) costOf(work Work) float64 {
	cost := c.FirstToken(work.Tokens) + c.Penalty
	if c.PrefillRate > 0 {
		cost += (interferenceWeight*c.ActiveRequests + work.UncachedPrefillWeight) * max(0, work.AffinityTokens-c.CachedTokens) / c.PrefillRate
	}
	return cost
}

// assumeOwnerCached assumes that the rendezvous owner of the affinity link has most of
// it in its cache.
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

// loadBound returns the bounded load of the candidates, in requests per slot.
func loadBound(candidates []Candidate) float64 {
	var active, slots float64
	for index := range candidates {
		active += candidates[index].ActiveRequests
		slots += max(candidates[index].Slots, 1)
	}
	return BoundedLoad * active / slots
}

// withinBound reports whether the candidate's load is within a bound in requests per
// slot.
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
