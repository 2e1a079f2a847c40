package placement

import (
	"testing"

	"github.com/deckpulley/deckpulley/api"
)

// TestChainAndAffinity checks that chains have equal links up to their first difference, and
// that the affinity link is the one with most of the tokens.
func TestChainAndAffinity(t *testing.T) {
	chain := func(ids ...string) []Link {
		prefixes := make([]api.Prefix, 0, len(ids))
		for index, id := range ids {
			prefixes = append(prefixes, api.Prefix{ID: id, Tokens: []int{100, 4000, 900}[index]})
		}
		return Chain(prefixes)
	}
	a, b := chain("system", "repository", "file-1"), chain("system", "repository", "file-2")
	if a[1] != b[1] || a[2].Hash == b[2].Hash || a[2].Tokens != 5000 {
		t.Fatalf("chains %v and %v, want two equal links and a different third one with 5000 tokens", a, b)
	}
	if chain("x", "y")[1].Hash == chain("y", "x")[1].Hash {
		t.Fatal("the hash does not depend on the order of the prefixes")
	}
	affinityA, _ := AffinityLink(a)
	affinityB, _ := AffinityLink(b)
	if affinityA != a[1] || affinityA != affinityB {
		t.Fatalf("affinity links %v and %v, want that of the repository for both", affinityA, affinityB)
	}
}
