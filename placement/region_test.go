package placement

import (
	"flag"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// init sets a fixed seed for the property tests; the flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestRankRegionsProperties ranks random regions for random requests, and checks that no
// region is outside the home, unusable or ranked twice, and that each usable region of the
// home is ranked.
func TestRankRegionsProperties(t *testing.T) {
	all := numberedNames("region-", 5)
	rapid.Check(t, func(t *rapid.T) {
		regions := map[string]*Region{}
		for _, name := range all {
			if rapid.IntRange(0, 9).Draw(t, "listed") == 0 {
				continue
			}
			regions[name] = &Region{
				Name: name, Hash: Hash(name), Capacity: float64(rapid.IntRange(0, 9).Draw(t, "capacity")),
				Usable:           rapid.Bool().Draw(t, "usable"),
				Load:             rapid.Float64Range(0, 100).Draw(t, "load"),
				LoadFreshness:    LoadFreshness(rapid.IntRange(0, 2).Draw(t, "freshness")),
				AcceptsSpill:     rapid.Bool().Draw(t, "accepts spill"),
				RecoveryFraction: rapid.Float64Range(0, 1).Draw(t, "recovery"),
			}
		}
		work := RegionWork{
			Key:           rapid.Uint64().Draw(t, "key"),
			Preferred:     rapid.SampledFrom(all).Draw(t, "preferred"),
			Spill:         rapid.SliceOf(rapid.SampledFrom(all)).Draw(t, "spill"),
			SpillFraction: rapid.Float64Range(0, 1).Draw(t, "fraction"),
		}
		if rapid.Bool().Draw(t, "bound") {
			work.Home = rapid.SliceOfN(rapid.SampledFrom(all), 1, 3).Draw(t, "home")
		}
		ranked := RankRegions(work, regions)
		for position, name := range ranked {
			if work.Home != nil && !slices.Contains(work.Home, name) {
				t.Fatalf("ranked region %s is not one of the home regions %v", name, work.Home)
			}
			if regions[name] == nil || !regions[name].Usable || slices.Contains(ranked[:position], name) {
				t.Fatalf("region %s is unknown, unusable or duplicate in the ranking %v", name, ranked)
			}
		}
		for _, name := range work.Home {
			if regions[name] != nil && regions[name].Usable && !slices.Contains(ranked, name) {
				t.Fatalf("usable home region %s is missing in the ranking %v", name, ranked)
			}
		}
	})
}

// TestCommonLoad checks that the common load is weighted by capacity, and leaves out regions
// that are not usable, have no recent load report or cannot serve.
func TestCommonLoad(t *testing.T) {
	regions := map[string]*Region{
		"large":        {Capacity: 6, Usable: true, Load: 1, LoadFreshness: Fresh, RecoveryFraction: 1},
		"small":        {Capacity: 2, Usable: true, Load: 2, LoadFreshness: Fresh, RecoveryFraction: 1},
		"stale":        {Capacity: 90, Usable: true, Load: 0.1, LoadFreshness: Stale, RecoveryFraction: 1},
		"incomparable": {Capacity: 90, Usable: true, Load: 100, LoadFreshness: Fresh, RecoveryFraction: 1},
		"unusable":     {Capacity: 90, Load: 0.1, LoadFreshness: Fresh, RecoveryFraction: 1},
	}
	for _, c := range []struct {
		names []string
		want  float64
	}{
		{[]string{"large", "small", "stale", "incomparable", "unusable", "unlisted"}, 1.25},
		{[]string{"small"}, 2},
		{[]string{"stale"}, 0},
		{nil, 0},
	} {
		if got := CommonLoad(c.names, regions); got != c.want {
			t.Errorf("CommonLoad(%v) = %v, want %v", c.names, got, c.want)
		}
	}
}

// TestOverflowFollowsCapacity spills a third of the requests, and checks that two regions of
// different capacity get them in proportion, and that full and stale regions are last.
func TestOverflowFollowsCapacity(t *testing.T) {
	regions := map[string]*Region{
		"own":         {Name: "own", Hash: Hash("salt1"), Capacity: 5, Usable: true, Load: 1.2, LoadFreshness: Fresh, RecoveryFraction: 1},
		"large":       {Name: "large", Hash: Hash("salt2"), Capacity: 8, Usable: true, Load: 0.5, LoadFreshness: Fresh, AcceptsSpill: true, RecoveryFraction: 1},
		"small":       {Name: "small", Hash: Hash("salt3"), Capacity: 2, Usable: true, Load: 0.5, LoadFreshness: Fresh, AcceptsSpill: true, RecoveryFraction: 1},
		"full":        {Name: "full", Hash: Hash("salt4"), Capacity: 90, Usable: true, Load: 0.9, LoadFreshness: Fresh, RecoveryFraction: 1},
		"partitioned": {Name: "partitioned", Hash: Hash("salt5"), Capacity: 90, Usable: true, Load: 0.1, LoadFreshness: Stale, RecoveryFraction: 1},
	}
	first := map[string]int{}
	for key := range 6000 {
		work := RegionWork{
			Key: mix(uint64(key)), Preferred: "own", SpillFraction: 1.0 / 3,
			Spill: []string{"partitioned", "full", "small", "large"},
		}
		ranked := RankRegions(work, regions)
		first[ranked[0]]++
		if ranked[4] != "partitioned" || ranked[3] != "full" {
			t.Fatalf("ranking %v, want the full region and then the partitioned one at the end", ranked)
		}
	}
	if first["own"] < 3850 || first["own"] > 4150 {
		t.Errorf("the preferred region is first for %d of 6000 requests, want two thirds", first["own"])
	}
	if ratio := float64(first["large"]) / float64(first["small"]); ratio < 3.2 || ratio > 4.9 {
		t.Errorf("the large region got %.2f times the requests of the small one, want about 4", ratio)
	}
}
