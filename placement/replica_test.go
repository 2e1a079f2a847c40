package placement

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
)

// TestChoose checks the choice between replicas that have the prefix in their cache and others
// that differ in load and speed.
func TestChoose(t *testing.T) {
	work := Work{Tokens: 5000, AffinityHash: 99, AffinityTokens: 4000}
	hashes := []uint64{1, 2, 3, 4, 5}
	slices.SortFunc(hashes, func(a, b uint64) int { return cmp.Compare(Score(work.AffinityHash, b), Score(work.AffinityHash, a)) })
	candidate := func(rank int, change func(*Candidate)) Candidate {
		c := Candidate{PrefillRate: 1000, Slots: 8, ServiceTime: 2, Hash: hashes[rank]}
		change(&c)
		return c
	}
	// The rendezvous owner is overloaded in all cases except the one that chooses it.
	owner := candidate(0, func(c *Candidate) { c.PendingTokens = 20000 })
	cached := candidate(1, func(c *Candidate) { c.CachedTokens = 4000; c.ActiveRequests = 3; c.PendingTokens = 1000 })
	overloaded := candidate(1, func(c *Candidate) { c.CachedTokens = 4000; c.ActiveRequests = 3; c.PendingTokens = 9000 })
	full := candidate(1, func(c *Candidate) { c.CachedTokens = 4000; c.ActiveRequests = 40 })
	idle := candidate(2, func(*Candidate) {})
	busy := candidate(2, func(c *Candidate) { c.ActiveRequests = 3 })
	slow := candidate(3, func(c *Candidate) { c.PrefillRate = 100 })
	ready := candidate(0, func(c *Candidate) { c.ActiveRequests = 1; c.PendingTokens = 500 })
	cases := []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"no candidates", nil, -1},
		{"the cached prefix saves more than the queue costs", []Candidate{owner, idle, cached}, 2},
		{"the queue costs more than the cached prefix saves", []Candidate{owner, overloaded, idle}, 2},
		{"the queue costs more, but the prefill elsewhere delays other requests", []Candidate{owner, overloaded, busy}, 1},
		{"the replica with the cached prefix is above the bounded load", []Candidate{full, idle, slow, slow, slow}, 1},
		{"the prefix is not cached anywhere, so the owner is chosen", []Candidate{idle, ready, slow}, 1},
		{"one replica is slow", []Candidate{owner, slow, idle}, 2},
		{"the only replica is overloaded", []Candidate{overloaded}, 0},
	}
	for _, c := range cases {
		if got, _ := Choose(c.candidates, work); got != c.want {
			t.Errorf("%s: chose %d, want %d", c.name, got, c.want)
		}
	}
}

// TestGatewaysAgreeOnNewChains gives two gateways with empty indexes slightly different
// loads, and checks that they mostly choose the same replica for a new chain and spread the
// chains over all replicas.
func TestGatewaysAgreeOnNewChains(t *testing.T) {
	used := map[int]int{}
	agreed := 0
	for key := range 400 {
		var chosen [2]int
		for gateway := range chosen {
			candidates := make([]Candidate, 5)
			for index := range candidates {
				candidates[index] = Candidate{
					Hash: Hash(fmt.Sprint("replica", index)), PrefillRate: 1000, Slots: 8,
					ActiveRequests: float64((key + gateway + index) % 2),
				}
			}
			chosen[gateway], _ = Choose(candidates, Work{Tokens: 5000, AffinityHash: mix(uint64(key)), AffinityTokens: 4000})
		}
		used[chosen[0]]++
		if chosen[0] == chosen[1] {
			agreed++
		}
	}
	if agreed < 390 {
		t.Errorf("the gateways agreed on %d of 400 new chains, want at least 390", agreed)
	}
	for index := range 5 {
		if used[index] < 50 || used[index] > 110 {
			t.Errorf("replica %d got %d of 400 chains, want about 80", index, used[index])
		}
	}
}
