package placement_test

import (
	"fmt"

	"github.com/deckpulley/deckpulley/placement"
)

// A replica with the prompt in its cache is chosen despite a short queue, but not despite
// a long one.
func Example() {
	candidates := []placement.Candidate{
		{Number: 0, Hash: placement.Hash("r0"), PrefillRate: 1000, Slots: 8, PendingTokens: 500, CachedTokens: 4000},
		{Number: 1, Hash: placement.Hash("r1"), PrefillRate: 1000, Slots: 8},
	}
	work := placement.Work{Tokens: 4000, AffinityHash: placement.Hash("repository"), AffinityTokens: 4000}
	best, seconds := placement.Choose(candidates, work)
	fmt.Printf("r%d in %.1f s\n", best, seconds)
	candidates[0].PendingTokens = 60_000
	best, seconds = placement.Choose(candidates, work)
	fmt.Printf("r%d in %.1f s\n", best, seconds)
	// Output:
	// r0 in 0.5 s
	// r1 in 4.0 s
}
