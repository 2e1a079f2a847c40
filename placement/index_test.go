package placement

import (
	"fmt"
	"testing"

	"github.com/deckpulley/deckpulley/api"
	"pgregory.net/rapid"
)

// TestIndexProperties applies random operations, and checks that each chain that the index
// reports as cached was recorded and not dropped since, and that its size is bounded.
func TestIndexProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := NewIndex(IndexEntries)
		recorded := map[int]map[uint64]bool{0: {}, 1: {}, 2: {}}
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
					recorded[replica][link.Hash] = true
				}
				found := 0
				index.Cached(chain, func(cachedBy, tokens int) {
					if cachedBy == replica {
						found = tokens
					}
				})
				if found != 15 {
					t.Fatalf("found %d tokens of a chain that was just recorded, want 15", found)
				}
			case 3:
				index.RemoveChain(replica, chain)
				delete(recorded[replica], chain[0].Hash)
				delete(recorded[replica], chain[1].Hash)
			case 4:
				index.Forget(replica)
				recorded[replica] = map[uint64]bool{}
			case 5:
				before := index.Len(replica)
				index.RecordMiss(replica, 15, 10)
				if before > 0 && index.Len(replica) >= before {
					t.Fatal("RecordMiss dropped no entry after a miss")
				}
			}
			index.Cached(chain, func(cachedBy, tokens int) {
				if tokens == 15 && !recorded[cachedBy][chain[1].Hash] {
					t.Fatalf("reported a chain as cached that was not recorded for replica %d", cachedBy)
				}
			})
			if index.Len(replica) > minReplicaEntries {
				t.Fatalf("replica has %d entries, more than the limit", index.Len(replica))
			}
		}
	})
}
