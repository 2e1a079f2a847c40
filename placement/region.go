package placement

import (
	"cmp"
	"slices"
)

// LoadFreshness is the age of what is known of a region's load.
type LoadFreshness uint8

const (
	// NeverReported means that the region has not reported its load yet.
	NeverReported LoadFreshness = iota
	// Fresh means that the last report is recent.
	Fresh
	// Stale means that reports have stopped: the region may be partitioned or lost.
	Stale
)

const (
	// minHeadroom keeps the weight of a full region above zero, so that it is ranked
	// last instead of not at all.
	minHeadroom = 0.02
	// minRegionWeight keeps the weight of each region above zero.
	minRegionWeight = 1e-9
	// unknownLoad is the assumed load of a region without a recent report.
	unknownLoad = 0.5
	// MaxComparedLoad is the highest load that is compared with others. A higher one
	// means that the region cannot serve, and not how much work it has.
	MaxComparedLoad = 10
)

// Region is what is known of one region for one service.
type Region struct {
	// Name is the name of the region.
	Name string
	// Hash is the hash of the name.
	Hash uint64
	// Capacity is the region's weight relative to others.
	Capacity float64
	// Usable is false if the plan has no replica or no gateway there.
	Usable bool
	// Load is the region's utilization; 1 is full.
	Load float64
	// LoadFreshness tells how far Load can be relied on.
	LoadFreshness LoadFreshness
	// AcceptsSpill is the state of the region's SpillGate.
	AcceptsSpill bool
	// RecoveryFraction is the fraction of its traffic that a region may get again
	// after it was lost; 1 is all of it.
	RecoveryFraction float64
}

// RegionWork is what the ranking of regions needs to know of a request.
type RegionWork struct {
	// Key is a hash of the request's ID. The same request gets the same random draws.
	Key uint64
	// Preferred is the region that serves the client.
	Preferred string
	// Spill lists the overflow regions, in the order of the configuration.
	Spill []string
	// Home, if not nil, lists the only regions that may run the request.
	Home []string
	// SpillFraction is the fraction of the preferred region's requests that should
	// run elsewhere.
	SpillFraction float64
}

// RankRegions returns the names of the regions to try, best first. It never returns
// one outside the home.
//
// The preferred region is first unless the request is drawn to be spilled or the
// region is recovering. Overflow regions follow, drawn in proportion to capacity and
// headroom. Headroom counts up to full or, if that is more, up to the preferred
// region's load. Regions whose load is stale are last.
func RankRegions(work RegionWork, regions map[string]*Region) []string {
	candidates := candidateRegions(work, regions)
	if len(candidates) == 0 {
		return nil
	}
	hasPreferred := candidates[0].Name == work.Preferred
	overflow := candidates
	if hasPreferred {
		overflow = candidates[1:]
	}
	fullLoad := 1.0
	if hasPreferred && candidates[0].Load <= MaxComparedLoad {
		fullLoad = max(fullLoad, candidates[0].Load)
	}
	sortOverflow(work.Key, fullLoad, overflow)
	ranked := make([]string, 0, len(candidates))
	for _, region := range overflow {
		ranked = append(ranked, region.Name)
	}
	if !hasPreferred {
		return ranked
	}
	return slices.Insert(ranked, preferredPosition(work, candidates[0], overflow), work.Preferred)
}

// candidateRegions returns the usable regions in which the request may run, without
// duplicates, the preferred one first.
func candidateRegions(work RegionWork, regions map[string]*Region) []*Region {
	names := make([]string, 0, 1+len(work.Spill)+len(work.Home))
	names = append(names, work.Preferred)
	names = append(names, work.Spill...)
	names = append(names, work.Home...)
	candidates := make([]*Region, 0, len(names))
	for position, name := range names {
		region := regions[name]
		if region == nil || !region.Usable || slices.Contains(names[:position], name) {
			continue
		}
		if work.Home != nil && !slices.Contains(work.Home, name) {
			continue
		}
		candidates = append(candidates, region)
	}
	return candidates
}

// sortOverflow sorts overflow regions by their tier, and within a tier by a draw in
// proportion to their weights. fullLoad is the load without headroom.
func sortOverflow(key uint64, fullLoad float64, overflow []*Region) {
	score := func(region *Region) float64 {
		return weightedScore(Score(key, region.Hash), region.overflowWeight(fullLoad))
	}
	slices.SortStableFunc(overflow, func(a, b *Region) int {
		if order := cmp.Compare(a.overflowTier(), b.overflowTier()); order != 0 {
			return order
		}
		return cmp.Compare(score(a), score(b))
	})
}

// overflowWeight is the region's weight among the overflow regions, by capacity and
// headroom.
func (r *Region) overflowWeight(fullLoad float64) float64 {
	load := r.Load
	if r.LoadFreshness != Fresh {
		load = unknownLoad
	}
	weight := max(r.Capacity, minHeadroom) * max(fullLoad-load, minHeadroom) * r.RecoveryFraction
	return max(weight, minRegionWeight)
}

// Tiers of overflow regions, best first.
const (
	tierAcceptsSpill = iota // or has not reported yet
	tierFull
	tierStale
)

func (r *Region) overflowTier() int {
	switch {
	case r.LoadFreshness == Stale:
		return tierStale
	case r.LoadFreshness == Fresh && !r.AcceptsSpill:
		return tierFull
	default:
		return tierAcceptsSpill
	}
}

// preferredPosition returns the position of the preferred region in the ranking: 0
// normally; 1, behind the best overflow region, if the request is drawn to go there;
// and the position before the stale regions if the preferred one is stale too.
func preferredPosition(work RegionWork, preferred *Region, overflow []*Region) int {
	if len(overflow) == 0 {
		return 0
	}
	if preferred.LoadFreshness == Stale {
		position := 0
		for position < len(overflow) && overflow[position].LoadFreshness != Stale {
			position++
		}
		return position
	}
	if first := overflow[0]; first.LoadFreshness != Fresh || !first.AcceptsSpill {
		return 0
	}
	withheld := Uniform(Score(work.Key, recoverySalt)) >= preferred.RecoveryFraction
	spilled := Uniform(Score(work.Key, spillSalt)) < work.SpillFraction
	if withheld || spilled {
		return 1
	}
	return 0
}

// Salts make the draws from one key independent of each other.
const (
	recoverySalt = 0x6a09e667f3bcc908
	spillSalt    = 0xbb67ae8584caa73b
)

// CommonLoad returns the mean load of the named regions, weighted by capacity: the
// load of each if they shared all work. Regions whose load is not known do not
// count; it is 0 if none is left.
func CommonLoad(names []string, regions map[string]*Region) float64 {
	work, capacity := 0.0, 0.0
	for _, name := range names {
		region := regions[name]
		if region == nil || !region.Usable || region.LoadFreshness != Fresh || region.Load > MaxComparedLoad {
			continue
		}
		weight := max(region.Capacity, minHeadroom) * region.RecoveryFraction
		work += weight * region.Load
		capacity += weight
	}
	if capacity == 0 {
		return 0
	}
	return work / capacity
}
