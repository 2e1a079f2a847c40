package placement

import (
	"cmp"
	"slices"
)

// LoadFreshness says how good the known load of a region is.
type LoadFreshness uint8

const (
	// NeverReported means that no load was ever reported.
	NeverReported LoadFreshness = iota
	// Fresh means that the load is recent.
	Fresh
	// Stale means that reports have stopped: the region may be cut off or lost.
	Stale
)

const (
	// leastHeadroom keeps a full region's weight above zero, so that it stays last.
	leastHeadroom = 0.02
	// unheardLoad is assumed of a region that has not reported yet.
	unheardLoad = 0.5
	// MaxComparedLoad is the highest load that is compared with others. One above it says
	// that the region cannot serve, not how much it has to do.
	MaxComparedLoad = 10
)

// Region is what is known of one region for one service.
type Region struct {
	Name string
	Hash uint64
	// Capacity is its weight relative to others.
	Capacity float64
	// Usable is false if the plan leaves it no replica or no gateway.
	Usable bool
	// Load is its utilization, 1 is full.
	Load          float64
	LoadFreshness LoadFreshness
	// AcceptsSpill is the state of its Gate.
	AcceptsSpill bool
	// RecoveryFraction is the part of its traffic that a region may have again after it
	// was lost, 1 for all.
	RecoveryFraction float64
}

// RegionWork is what the choice of a region must know of a request.
type RegionWork struct {
	// Key is a hash of the request's id: the same request is decided alike.
	Key uint64
	// Preferred is the region that serves the client.
	Preferred string
	// Spill lists the regions after it, in the order of the configuration.
	Spill []string
	// Home, if not nil, lists the only regions that may run it.
	Home []string
	// SpillFraction of the preferred region's requests that should go elsewhere.
	SpillFraction float64
}

// RankRegions lists the regions to try, best first; it never has one outside the home.
//
// The preferred region comes first unless the request is drawn to be spilled or
// the region is recovering. Overflow regions follow, drawn in proportion to
// capacity and headroom, which is counted up to full or, if that is more, up to
// the preferred region's load; regions that fell silent come last.
func RankRegions(work RegionWork, regions map[string]*Region) []string {
	candidates := candidatesOf(work, regions)
	if len(candidates) == 0 {
		return nil
	}
	hasPreferred := candidates[0].Name == work.Preferred
	overflow := candidates
	if hasPreferred {
		overflow = candidates[1:]
	}
	full := 1.0
	if hasPreferred && candidates[0].Load <= MaxComparedLoad {
		full = max(full, candidates[0].Load)
	}
	sortOverflow(work.Key, full, overflow)
	order := make([]string, 0, len(candidates))
	for _, region := range overflow {
		order = append(order, region.Name)
	}
	if !hasPreferred {
		return order
	}
	return slices.Insert(order, preferredPlace(work, candidates[0], overflow), work.Preferred)
}

// candidatesOf lists the usable regions that the request may use, the preferred
// one first, without doubles.
func candidatesOf(work RegionWork, regions map[string]*Region) []*Region {
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

func sortOverflow(key uint64, full float64, overflow []*Region) {
	score := func(region *Region) float64 {
		load := region.Load
		if region.LoadFreshness != Fresh {
			load = unheardLoad
		}
		weight := max(region.Capacity, leastHeadroom) * max(full-load, leastHeadroom) * region.RecoveryFraction
		return weightedScore(Score(key, region.Hash), max(weight, 1e-9))
	}
	slices.SortStableFunc(overflow, func(a, b *Region) int {
		if stale := cmp.Compare(rank(a), rank(b)); stale != 0 {
			return stale
		}
		return cmp.Compare(score(a), score(b))
	})
}

// rank puts regions that take spill before the full ones, and silent ones last.
func rank(region *Region) int {
	switch {
	case region.LoadFreshness == Stale:
		return 2
	case region.LoadFreshness == Fresh && !region.AcceptsSpill:
		return 1
	default:
		return 0
	}
}

// preferredPlace is the place of the preferred region in the order: 0 as a
// rule, 1 behind one overflow region if the request is drawn to go there, the
// last before silent regions if the preferred one is silent itself.
func preferredPlace(work RegionWork, preferred *Region, overflow []*Region) int {
	if len(overflow) == 0 {
		return 0
	}
	if preferred.LoadFreshness == Stale {
		place := 0
		for place < len(overflow) && overflow[place].LoadFreshness != Stale {
			place++
		}
		return place
	}
	if first := overflow[0]; first.LoadFreshness != Fresh || !first.AcceptsSpill {
		return 0
	}
	held := Uniform(Score(work.Key, recoverySalt)) >= preferred.RecoveryFraction
	spilled := Uniform(Score(work.Key, spillSalt)) < work.SpillFraction
	if held || spilled {
		return 1
	}
	return 0
}

// Salts keep independent draws from one key apart.
const (
	recoverySalt = 0x6a09e667f3bcc908
	spillSalt    = 0xbb67ae8584caa73b
)

const (
	// gateMargin is how far below the level a region's load must be before
	// it starts to take spill.
	gateMargin = 0.15
	// gateLead is how far below the sender's load it must be as well, so that
	// two loaded regions do not trade load back and forth.
	gateLead = 0.1
)

// CommonLoad is the mean load of the named regions, by capacity: what each would
// have if they shared all work. Regions whose load is not known count as absent;
// it is 0 if none is left.
func CommonLoad(names []string, regions map[string]*Region) float64 {
	work, capacity := 0.0, 0.0
	for _, name := range names {
		region := regions[name]
		if region == nil || !region.Usable || region.LoadFreshness != Fresh || region.Load > MaxComparedLoad {
			continue
		}
		weight := max(region.Capacity, leastHeadroom) * region.RecoveryFraction
		work += weight * region.Load
		capacity += weight
	}
	if capacity == 0 {
		return 0
	}
	return work / capacity
}

// SpillGate says with hysteresis whether a region takes spill from this one.
type SpillGate struct {
	open bool
}

// Update takes the remote and the own load and the level that loads are held
// at: the set point of utilization or, once all regions together are beyond it,
// their common load. The gate opens when the remote load is clearly below the
// level and the own load, and closes when it has reached either. So a region at
// or above the common load takes no spill, and of two regions at most the one
// with the lower load does.
func (g *SpillGate) Update(remote, own, level float64) bool {
	if g.open {
		g.open = remote < level && remote < own
		return g.open
	}
	g.open = remote < level-gateMargin && remote < own-gateLead
	return g.open
}
