package consensus_test

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
)

// A group of one commits what it proposes as soon as the entry is on its disk.
func Example() {
	group := consensus.Membership{Members: []consensus.Member{{ID: "disk-1", Name: "control-a"}}}
	node, err := consensus.New(consensus.Config{
		ID:       "disk-1",
		Snapshot: consensus.Snapshot{Index: 1, Term: 1, Membership: group},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	work := func() {
		for node.HasReady() {
			ready := node.Ready()
			// Persist ready.HardState, ready.Snapshot and ready.Entries with a
			// sync, then send ready.Messages, then apply.
			for _, entry := range ready.CommittedEntries {
				if entry.Kind == consensus.EntryNormal {
					fmt.Printf("index %d: %s\n", entry.Index, entry.Data)
				}
			}
			node.Advance(ready)
		}
	}
	node.Tick(0)
	node.Tick(2 * time.Second) // past every election timeout
	work()
	if _, _, err := node.Propose(2*time.Second, []byte("change")); err != nil {
		fmt.Println(err)
	}
	work()
	// Output: index 3: change
}
