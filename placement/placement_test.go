package placement

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/deckpulley/deckpulley/api"
	"pgregory.net/rapid"
)

// init fixes the seed of the property tests; -rapid.seed overrules it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func names(prefix string, count int) []string {
	list := make([]string, count)
	for index := range list {
		list[index] = fmt.Sprint(prefix, index)
	}
	return list
}

// TestOwnerMovesLittle removes one of five members: only its keys move, and
// owners are spread evenly.
func TestOwnerMovesLittle(t *testing.T) {
	members := names("g", 5)
	owned := map[string]int{}
	for _, key := range names("replica-", 5000) {
		before := Owner(key, members)
		owned[before]++
		after := Owner(key, members[1:])
		if before != "g0" && after != before {
			t.Fatalf("%s moved from %s to %s", key, before, after)
		}
		reversed := slices.Clone(members)
		slices.Reverse(reversed)
		if Owner(key, reversed) != before {
			t.Fatal("the order of the members decides")
		}
	}
	for member, count := range owned {
		if count < 850 || count > 1150 {
			t.Errorf("%s owns %d of 5000", member, count)
		}
	}
}

func TestChain(t *testing.T) {
	chain := func(ids ...string) []Link {
		prefixes := make([]api.Prefix, 0, len(ids))
		for index, id := range ids {
			prefixes = append(prefixes, api.Prefix{ID: id, Tokens: []int{100, 4000, 900}[index]})
		}
		return Chain(prefixes)
	}
	a, b := chain("system", "repository", "file-1"), chain("system", "repository", "file-2")
	if a[1] != b[1] || a[2].Hash == b[2].Hash || a[2].Tokens != 5000 {
		t.Fatalf("chains %v and %v", a, b)
	}
	if chain("x", "y")[1].Hash == chain("y", "x")[1].Hash {
		t.Fatal("the order of prefixes does not matter")
	}
	left, _ := Affinity(a)
	right, _ := Affinity(b)
	if left != a[1] || left != right {
		t.Fatalf("affinity %v and %v, want the repository", left, right)
	}
}

// TestChoose weighs a loaded replica with the prefix against others without.
func TestChoose(t *testing.T) {
	work := Work{Tokens: 5000, AffinityHash: 99, AffinityTokens: 4000}
	hashes := []uint64{1, 2, 3, 4, 5}
	slices.SortFunc(hashes, func(a, b uint64) int { return cmp.Compare(Score(work.AffinityHash, b), Score(work.AffinityHash, a)) })
	with := func(rank int, change func(*Candidate)) Candidate {
		c := Candidate{PrefillRate: 1000, Slots: 8, ServiceTime: 2, Hash: hashes[rank]}
		change(&c)
		return c
	}
	// The owner by rendezvous is busy in all cases but its own.
	owner := with(0, func(c *Candidate) { c.PendingTokens = 20000 })
	holder := with(1, func(c *Candidate) { c.CachedTokens = 4000; c.ActiveRequests = 3; c.PendingTokens = 1000 })
	swamped := with(1, func(c *Candidate) { c.CachedTokens = 4000; c.ActiveRequests = 3; c.PendingTokens = 9000 })
	full := with(1, func(c *Candidate) { c.CachedTokens = 4000; c.ActiveRequests = 40 })
	idle := with(2, func(*Candidate) {})
	busy := with(2, func(c *Candidate) { c.ActiveRequests = 3 })
	slow := with(3, func(c *Candidate) { c.PrefillRate = 100 })
	ready := with(0, func(c *Candidate) { c.ActiveRequests = 1; c.PendingTokens = 500 })
	cases := []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"none", nil, -1},
		{"the holder saves more than its queue costs", []Candidate{owner, idle, holder}, 2},
		{"the queue costs more than the prefix saves", []Candidate{owner, swamped, idle}, 2},
		{"but not if the prefill delays others", []Candidate{owner, swamped, busy}, 1},
		{"the holder is beyond the bounded load", []Candidate{full, idle, slow, slow, slow}, 1},
		{"nobody holds it: the owner", []Candidate{idle, ready, slow}, 1},
		{"a slow replica", []Candidate{owner, slow, idle}, 2},
		{"only a swamped one", []Candidate{swamped}, 0},
	}
	for _, c := range cases {
		if got, _ := Choose(c.candidates, work); got != c.want {
			t.Errorf("%s: chose %d, want %d", c.name, got, c.want)
		}
	}
}

// TestGatewaysAgree gives two gateways with empty indexes slightly different
// loads: new chains go to the same replica, spread over all.
func TestGatewaysAgree(t *testing.T) {
	used := map[int]int{}
	agreed := 0
	for key := range 400 {
		var seen [2]int
		for gateway := range seen {
			candidates := make([]Candidate, 5)
			for index := range candidates {
				candidates[index] = Candidate{
					Hash: Hash(fmt.Sprint("replica", index)), PrefillRate: 1000, Slots: 8,
					ActiveRequests: float64((key + gateway + index) % 2),
				}
			}
			seen[gateway], _ = Choose(candidates, Work{Tokens: 5000, AffinityHash: mix(uint64(key)), AffinityTokens: 4000})
		}
		used[seen[0]]++
		if seen[0] == seen[1] {
			agreed++
		}
	}
	if agreed < 390 {
		t.Errorf("agreed on %d of 400 new chains", agreed)
	}
	for index := range 5 {
		if used[index] < 50 || used[index] > 110 {
			t.Errorf("replica %d got %d of 400 chains", index, used[index])
		}
	}
}

// TestIndexProperties compares the index with the plain rule: what it claims was
// sent and not dropped since, and its size is bounded.
func TestIndexProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := NewIndex(IndexEntries)
		sentTo := map[int]map[uint64]bool{0: {}, 1: {}, 2: {}}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			replica := rapid.IntRange(0, 2).Draw(t, "replica")
			chain := Chain([]api.Prefix{
				{ID: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "outer")), Tokens: 10},
				{ID: fmt.Sprint(rapid.IntRange(0, 99).Draw(t, "inner")), Tokens: 5},
			})
			switch rapid.IntRange(0, 5).Draw(t, "operation") {
			default:
				index.Record(replica, chain)
				for _, link := range chain {
					sentTo[replica][link.Hash] = true
				}
				found := 0
				index.Cached(chain, func(holder, tokens int) {
					if holder == replica {
						found = tokens
					}
				})
				if found != 15 {
					t.Fatalf("just sent, found %d tokens", found)
				}
			case 3:
				index.Undo(replica, chain)
				delete(sentTo[replica], chain[0].Hash)
				delete(sentTo[replica], chain[1].Hash)
			case 4:
				index.Forget(replica)
				sentTo[replica] = map[uint64]bool{}
			case 5:
				before := index.Len(replica)
				index.Correct(replica, 15, 10)
				if before > 0 && index.Len(replica) >= before {
					t.Fatal("a miss dropped nothing")
				}
			}
			index.Cached(chain, func(holder, tokens int) {
				if tokens == 15 && !sentTo[holder][chain[1].Hash] {
					t.Fatalf("claims a chain that was not sent to %d", holder)
				}
			})
			if index.Len(replica) > leastPerReplica {
				t.Fatalf("%d entries", index.Len(replica))
			}
		}
	})
}

// TestOrderProperties draws random regions and requests: nothing outside the
// home, nothing unusable, no doubles, and all that may run it is listed.
func TestOrderProperties(t *testing.T) {
	all := names("region-", 5)
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
				LoadFreshness:    LoadFreshness(rapid.IntRange(0, 2).Draw(t, "knowledge")),
				AcceptsSpill:     rapid.Bool().Draw(t, "takes"),
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
		order := RankRegions(work, regions)
		for position, name := range order {
			if work.Home != nil && !slices.Contains(work.Home, name) {
				t.Fatalf("%s is outside the home %v", name, work.Home)
			}
			if regions[name] == nil || !regions[name].Usable || slices.Contains(order[:position], name) {
				t.Fatalf("%s in %v", name, order)
			}
		}
		for _, name := range work.Home {
			if regions[name] != nil && regions[name].Usable && !slices.Contains(order, name) {
				t.Fatalf("home region %s missing in %v", name, order)
			}
		}
	})
}

// TestCommonLoad weighs what is known of regions that serve.
func TestCommonLoad(t *testing.T) {
	regions := map[string]*Region{
		"large":  {Capacity: 6, Usable: true, Load: 1, LoadFreshness: Fresh, RecoveryFraction: 1},
		"small":  {Capacity: 2, Usable: true, Load: 2, LoadFreshness: Fresh, RecoveryFraction: 1},
		"silent": {Capacity: 90, Usable: true, Load: 0.1, LoadFreshness: Stale, RecoveryFraction: 1},
		"empty":  {Capacity: 90, Usable: true, Load: 100, LoadFreshness: Fresh, RecoveryFraction: 1},
		"closed": {Capacity: 90, Load: 0.1, LoadFreshness: Fresh, RecoveryFraction: 1},
	}
	for _, c := range []struct {
		names []string
		want  float64
	}{
		{[]string{"large", "small", "silent", "empty", "closed", "unlisted"}, 1.25},
		{[]string{"small"}, 2},
		{[]string{"silent"}, 0},
		{nil, 0},
	} {
		if got := CommonLoad(c.names, regions); got != c.want {
			t.Errorf("%v: %v, want %v", c.names, got, c.want)
		}
	}
}

// TestOverflowFollowsCapacity spills a third of the requests to two regions of
// unequal capacity and headroom.
func TestOverflowFollowsCapacity(t *testing.T) {
	regions := map[string]*Region{
		"own":   {Name: "own", Hash: Hash("salt1"), Capacity: 5, Usable: true, Load: 1.2, LoadFreshness: Fresh, RecoveryFraction: 1},
		"large": {Name: "large", Hash: Hash("salt2"), Capacity: 8, Usable: true, Load: 0.5, LoadFreshness: Fresh, AcceptsSpill: true, RecoveryFraction: 1},
		"small": {Name: "small", Hash: Hash("salt3"), Capacity: 2, Usable: true, Load: 0.5, LoadFreshness: Fresh, AcceptsSpill: true, RecoveryFraction: 1},
		"full":  {Name: "full", Hash: Hash("salt4"), Capacity: 90, Usable: true, Load: 0.9, LoadFreshness: Fresh, RecoveryFraction: 1},
		"cut":   {Name: "cut", Hash: Hash("salt5"), Capacity: 90, Usable: true, Load: 0.1, LoadFreshness: Stale, RecoveryFraction: 1},
	}
	first := map[string]int{}
	for key := range 6000 {
		work := RegionWork{
			Key: mix(uint64(key)), Preferred: "own", SpillFraction: 1.0 / 3,
			Spill: []string{"cut", "full", "small", "large"},
		}
		order := RankRegions(work, regions)
		first[order[0]]++
		if order[4] != "cut" || order[3] != "full" {
			t.Fatalf("order %v", order)
		}
	}
	if first["own"] < 3850 || first["own"] > 4150 {
		t.Errorf("own region first for %d of 6000, want two thirds", first["own"])
	}
	if ratio := float64(first["large"]) / float64(first["small"]); ratio < 3.2 || ratio > 4.9 {
		t.Errorf("large over small is %.2f, want 4", ratio)
	}
}
