package placement

import "math"

const (
	// BoundedLoad is the factor over the mean load up to which a replica keeps
	// the prefixes that belong to it.
	BoundedLoad = 1.5
	// boundedSlack is added to the bound, so that small counts do not decide.
	boundedSlack = 4
	// othersPrice weighs the time that the prefill of a prefix takes from each
	// request on the replica: once for the delay, once for what it evicts.
	othersPrice = 2
	// ownerCredit is the part of the affinity link that the rendezvous owner is
	// taken to hold, since all gateways send there.
	ownerCredit = 0.9
	// tieWidth and tieFloor (seconds) are the relative and the absolute
	// difference that counts as nearly equal.
	tieWidth = 0.05
	tieFloor = 0.004
	// crowding is the seconds added for a replica with all slots busy, in
	// proportion below: a larger batch decodes more slowly.
	crowding = 0.02
)

// Candidate is one replica that may take the request.
type Candidate struct {
	// Number is the caller's.
	Number int
	// Hash is the hash of the replica's name.
	Hash uint64
	// PendingTokens is the prefill work ahead of the request, in tokens.
	PendingTokens float64
	// PrefillRate is tokens prefilled per second; 0 for replicas without prefill.
	PrefillRate float64
	// ActiveRequests counts the requests running, queued and sent.
	ActiveRequests float64
	// Slots is the number it runs side by side at full speed.
	Slots float64
	// ServiceTime is how long a request occupies a slot, in seconds.
	ServiceTime float64
	// Wait is the expected time until it has room for the request, in seconds;
	// 0 if it has room now.
	Wait float64
	// Penalty is added to its cost, in seconds, though not to the expected time:
	// it keeps requests off a replica that fails them.
	Penalty float64
	// CachedTokens is the part of the prompt expected in its KV cache, in tokens.
	CachedTokens float64

	cost float64 // seconds, set by Choose
}

// Work is what placement must know of a request.
type Work struct {
	// Tokens is the whole prompt.
	Tokens float64
	// AffinityHash is the hash of the affinity link and Bulk its tokens. Without prefixes
	// Bulk is 0 and AffinityHash any hash that spreads requests.
	AffinityHash   uint64
	AffinityTokens float64
	// UncachedPrefillWeight weighs the reading of an affinity link that is not cached, also where
	// nobody waits for it, in multiples of the time that it takes. Default 0.
	UncachedPrefillWeight float64
}

// FirstToken is the expected time to the first token of a prompt, in seconds:
// the wait for room, the prefill ahead, the request's own uncached prefill and
// the wait for a slot.
func (c *Candidate) FirstToken(tokens float64) float64 {
	expected := c.Wait + crowding*c.ActiveRequests/max(c.Slots, 1)
	if c.PrefillRate > 0 {
		expected += (c.PendingTokens + max(0, tokens-c.CachedTokens)) / c.PrefillRate
	}
	if over := c.ActiveRequests + 1 - c.Slots; over > 0 {
		expected += over * c.ServiceTime / max(c.Slots, 1)
	}
	return expected
}

// Choose returns the position of the best candidate, -1 if there is none, and
// its expected time to the first token in seconds.
//
// The least cost decides: the request's own expected first token, and what the
// prefill of a prefix that is or belongs elsewhere costs the others on the
// replica. On idle replicas that is the first token alone; the more work is
// under way, the more a prefix stays where it is. Among costs that are nearly
// equal rendezvous decides, so gateways that know nothing of each other choose
// alike for one chain and spread different ones. A replica beyond the bounded
// load is passed over while another is below it.
func Choose(candidates []Candidate, work Work) (position int, expected float64) {
	if len(candidates) == 0 {
		return -1, 0
	}
	creditOwner(candidates, work)
	bound := loadBound(candidates)
	least, cheapest := math.Inf(1), 0
	for index := range candidates {
		c := &candidates[index]
		c.cost = c.costOf(work)
		if c.cost < least && withinBound(c, bound) {
			least, cheapest = c.cost, index
		}
	}
	nearly := least + tieWidth*candidates[cheapest].FirstToken(work.Tokens) + tieFloor
	best := nearlyLeast(candidates, work.AffinityHash, bound, nearly)
	return best, candidates[best].FirstToken(work.Tokens)
}

// costOf is the candidate's cost for a request, in seconds.
func (c *Candidate) costOf(work Work) float64 {
	cost := c.FirstToken(work.Tokens) + c.Penalty
	if c.PrefillRate > 0 {
		cost += (othersPrice*c.ActiveRequests + work.UncachedPrefillWeight) * max(0, work.AffinityTokens-c.CachedTokens) / c.PrefillRate
	}
	return cost
}

// creditOwner takes the rendezvous owner of the affinity link to hold most of
// it, since all gateways send there.
func creditOwner(candidates []Candidate, work Work) {
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
	owner.CachedTokens = max(owner.CachedTokens, ownerCredit*work.AffinityTokens)
}

// loadBound is the largest load per slot at which a replica keeps its prefixes.
func loadBound(candidates []Candidate) float64 {
	var busy, slots float64
	for index := range candidates {
		busy += candidates[index].ActiveRequests
		slots += max(candidates[index].Slots, 1)
	}
	return BoundedLoad * busy / slots
}

func withinBound(c *Candidate, bound float64) bool {
	return c.ActiveRequests <= bound*max(c.Slots, 1)+boundedSlack
}

// nearlyLeast is the rendezvous owner among the candidates that cost nearly as
// little as the cheapest.
func nearlyLeast(candidates []Candidate, key uint64, bound, nearly float64) int {
	best := 0
	var highest uint64
	found := false
	for index := range candidates {
		c := &candidates[index]
		if c.cost > nearly || !withinBound(c, bound) {
			continue
		}
		if score := Score(key, c.Hash); !found || score > highest {
			best, highest, found = index, score, true
		}
	}
	return best
}
