package placement

import (
	"cmp"
	"slices"
)

// LoadFreshness classifies the age of a region's last load report.
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
	// minHeadroom is the lower bound on the headroom and the capacity in a region's
	// weight, so that a full region is still ranked.
	minHeadroom = 0.02
	// minRegionWeight is the lower bound on the weight of a region.
	minRegionWeight = 1e-9
	// unknownLoad is the assumed load of a region without a recent report.
	unknownLoad = 0.5
	// MaxComparedLoad is the highest load that is compared with the loads of other
	// regions. A higher one means that the region cannot serve at all, and does not
	// measure its work.
	MaxComparedLoad = 10
)

// Region describes the state of one region for one service.
type Region struct {
	// Name is the name of the region.
	Name string
	// Hash is the hash of the name.
	Hash uint64
	// Capacity is the region's capacity relative to that of other regions.
	Capacity float64
	// Usable is false if the plan has no replica or no gateway in the region.
	Usable bool
	// Load is the region's utilization; 1 is full.
	Load float64
	// LoadFreshness is the age of Load.
	LoadFreshness LoadFreshness
	// AcceptsSpill is the result of the region's SpillGate.
	AcceptsSpill bool
	// RecoveryFraction is the fraction of its normal traffic that the region may get
	// while it recovers from a loss; 1 if it is not recovering.
	RecoveryFraction float64
}

// RegionWork describes a request for the ranking of regions.
type RegionWork struct {
	// Key is a hash of the request's ID. It determines the random choices, so that they
	// are the same each time the request is ranked.
	Key uint64
	// Preferred is the region that serves the client.
	Preferred string
	// Spill lists the overflow regions, in the order of the configuration.
	Spill []string
	// Home lists the regions that may run the request; nil permits all.
	Home []string
	// SpillFraction is the fraction of the preferred region's requests that should
	// run elsewhere.
	SpillFraction float64
}

// RankRegions returns the names of the regions to try, best first. It never returns a
// region that is not in work.Home.
//
// The preferred region is first, except for the fraction of requests that are spilled
// or that a recovering region does not get yet. Overflow regions follow in a random
// order weighted by capacity and headroom. Headroom is the difference between a
// region's load and either 1 or, if that is higher, the load of the preferred region.
// Regions whose load is stale are last.
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
// duplicates. The preferred region, if it is among them, is first.
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

// sortOverflow sorts overflow regions by tier, and within a tier in a random order
// weighted by overflowWeight. fullLoad is the load at which a region has no headroom.
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

// overflowWeight returns the region's weight among the overflow regions, which is the
// product of its capacity, headroom and recovery fraction.
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
// normally; 1, after the best overflow region, if the request is spilled or withheld
// from a recovering region; and directly before the stale overflow regions if the
// preferred region is stale too.
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

// The salts make the random choices for one key independent of each other.
const (
	recoverySalt = 0x6a09e667f3bcc908
	spillSalt    = 0xbb67ae8584caa73b
)

// CommonLoad returns the mean load of the named regions, weighted by capacity. Each of
// them would have this load if the work were spread evenly. Regions without a recent
// load report and those above MaxComparedLoad are left out; if none is left, the
// result is 0.
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
