package placement

import "math"

const (
	// BoundedLoad is the factor over the mean load up to which a replica keeps
	// the prefixes that belong to it.
	BoundedLoad = 1.5
	// boundedSlack is added to the bound, so that small counts do not decide.
	boundedSlack = 2
	// affinityPrice is the part of a prefix's prefill time that a request waits
	// longer to place a new prefix on the replica it belongs to.
	affinityPrice = 0.25
	// tieWidth and tieFloor (seconds) are the relative and the absolute
	// difference of expected times that count as nearly equal.
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
	// Pending is the prefill work ahead of the request, in tokens.
	Pending float64
	// Speed is tokens prefilled per second; 0 for replicas without prefill.
	Speed float64
	// Busy counts the requests running, queued and sent.
	Busy float64
	// Slots is the number it runs side by side at full speed.
	Slots float64
	// Hold is how long a request occupies a slot, in seconds.
	Hold float64
	// Cached is the part of the prompt expected in its KV cache, in tokens.
	Cached float64

	expected float64 // seconds to the first token, set by survey
}

// Work is what placement must know of a request.
type Work struct {
	// Tokens is the whole prompt.
	Tokens float64
	// Key is the hash of the affinity link and Bulk its tokens. Without prefixes
	// Bulk is 0 and Key any hash that spreads requests.
	Key  uint64
	Bulk float64
}

// FirstToken is the expected time to the first token of a prompt, in seconds:
// the prefill ahead, the request's own uncached prefill and the wait for a slot.
func (c *Candidate) FirstToken(tokens float64) float64 {
	expected := crowding * c.Busy / max(c.Slots, 1)
	if c.Speed > 0 {
		expected += (c.Pending + max(0, tokens-c.Cached)) / c.Speed
	}
	if over := c.Busy + 1 - c.Slots; over > 0 {
		expected += over * c.Hold / max(c.Slots, 1)
	}
	return expected
}

// Choose returns the position of the best candidate, -1 if there is none, and
// its expected time to the first token in seconds.
//
// The earliest expected first token decides. A chain that no candidate holds
// goes to its rendezvous owner if that costs at most a quarter of the prefill
// that later requests then save. Among times that are nearly equal, rendezvous
// decides, so gateways that know nothing of each other choose alike for one
// chain and spread different ones. A replica beyond the bounded load is passed
// over while another is below it.
func Choose(candidates []Candidate, work Work) (position int, expected float64) {
	if len(candidates) == 0 {
		return -1, 0
	}
	bound := loadBound(candidates)
	earliest, someHold := survey(candidates, work, bound)
	nearly := earliest*(1+tieWidth) + tieFloor
	if !someHold && work.Bulk > 0 {
		owner := ownerOf(candidates, work.Key, bound)
		allowance := affinityPrice * prefill(&candidates[owner], work.Bulk)
		if at := candidates[owner].expected; at <= nearly+allowance {
			return owner, at
		}
	}
	return nearlyEarliest(candidates, work.Key, bound, nearly)
}

// loadBound is the largest load per slot at which a replica keeps its prefixes.
func loadBound(candidates []Candidate) float64 {
	var busy, slots float64
	for index := range candidates {
		busy += candidates[index].Busy
		slots += max(candidates[index].Slots, 1)
	}
	return BoundedLoad * busy / slots
}

func withinBound(c *Candidate, bound float64) bool {
	return c.Busy <= bound*max(c.Slots, 1)+boundedSlack
}

// survey finds the earliest expected first token among the candidates within
// the load bound, and whether any of them holds the affinity link.
func survey(candidates []Candidate, work Work, bound float64) (earliest float64, someHold bool) {
	earliest = math.Inf(1)
	for index := range candidates {
		c := &candidates[index]
		someHold = someHold || (c.Cached > 0 && c.Cached >= work.Bulk)
		if withinBound(c, bound) {
			c.expected = c.FirstToken(work.Tokens)
			earliest = min(earliest, c.expected)
		}
	}
	return earliest, someHold
}

// ownerOf is the rendezvous owner among the candidates within the load bound.
func ownerOf(candidates []Candidate, key uint64, bound float64) int {
	owner := -1
	var highest uint64
	for index := range candidates {
		c := &candidates[index]
		score := Score(key, c.Hash)
		if (owner < 0 || score > highest) && withinBound(c, bound) {
			owner, highest = index, score
		}
	}
	return owner
}

// nearlyEarliest is the rendezvous owner among the candidates whose first token
// is expected nearly as early as the earliest.
func nearlyEarliest(candidates []Candidate, key uint64, bound, nearly float64) (best int, expected float64) {
	best = -1
	var highest uint64
	for index := range candidates {
		c := &candidates[index]
		if !withinBound(c, bound) || c.expected > nearly {
			continue
		}
		if score := Score(key, c.Hash); best < 0 || score > highest {
			best, highest, expected = index, score, c.expected
		}
	}
	return best, expected
}

func prefill(c *Candidate, tokens float64) float64 {
	if c.Speed <= 0 {
		return 0
	}
	return tokens / c.Speed
}
