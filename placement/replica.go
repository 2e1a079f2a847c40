package placement

const (
	// BoundedLoad is the factor over the mean load up to which a replica keeps
	// the prefixes that belong to it.
	BoundedLoad = 1.5
	// boundedSlack is added to the bound, so that small counts do not decide.
	boundedSlack = 2
	// affinityPrice is the part of a prefix's prefill time that a request waits
	// longer to place a new prefix on the replica it belongs to.
	affinityPrice = 0.25
	// tieWidth is the relative difference of expected times that counts as equal.
	tieWidth = 0.05
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
}

// Work is what placement must know of a request.
type Work struct {
	// Tokens is the whole prompt.
	Tokens float64
	// Key is the hash of the affinity link and Bulk its tokens; 0 without prefixes.
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
// The earliest expected first token decides. Times that are equal within a
// twentieth are decided by rendezvous over the affinity link, so gateways that
// know nothing of each other choose alike. A chain that no candidate holds goes
// to its rendezvous owner if that costs at most a quarter of the prefill that
// later requests then save. A replica beyond the bounded load is passed over
// while another is below it.
func Choose(candidates []Candidate, work Work) (position int, expected float64) {
	if len(candidates) == 0 {
		return -1, 0
	}
	bound := loadBound(candidates)
	best, earliest := earliestOf(candidates, work, bound)
	owner, ownerTime := ownerOf(candidates, work, bound)
	if owner < 0 || owner == best {
		return best, earliest
	}
	allowance := tieWidth * earliest
	if !held(candidates, work) {
		allowance += affinityPrice * prefill(&candidates[owner], work.Bulk)
	}
	if ownerTime <= earliest+allowance {
		return owner, ownerTime
	}
	return best, earliest
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

func earliestOf(candidates []Candidate, work Work, bound float64) (best int, earliest float64) {
	best = -1
	bestWithin := false
	var bestScore uint64
	for index := range candidates {
		c := &candidates[index]
		within := withinBound(c, bound)
		if bestWithin && !within {
			continue
		}
		expected := c.FirstToken(work.Tokens)
		score := Score(work.Key, c.Hash)
		better := best < 0 || (within && !bestWithin) || expected < earliest ||
			(expected == earliest && score > bestScore)
		if better {
			best, earliest, bestWithin, bestScore = index, expected, within, score
		}
	}
	return best, earliest
}

// ownerOf is the rendezvous owner of the affinity link within the load bound.
// If some candidates hold the link, only those are asked.
func ownerOf(candidates []Candidate, work Work, bound float64) (owner int, expected float64) {
	owner = -1
	if work.Key == 0 {
		return owner, 0
	}
	someHold := held(candidates, work)
	var highest uint64
	for index := range candidates {
		c := &candidates[index]
		if someHold && c.Cached < work.Bulk {
			continue
		}
		score := Score(work.Key, c.Hash)
		if (owner < 0 || score > highest) && withinBound(c, bound) {
			owner, highest = index, score
		}
	}
	if owner < 0 {
		return owner, 0
	}
	return owner, candidates[owner].FirstToken(work.Tokens)
}

func held(candidates []Candidate, work Work) bool {
	for index := range candidates {
		if candidates[index].Cached > 0 && candidates[index].Cached >= work.Bulk {
			return true
		}
	}
	return false
}

func prefill(c *Candidate, tokens float64) float64 {
	if c.Speed <= 0 {
		return 0
	}
	return tokens / c.Speed
}
