package consensus_test

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
)

// A group with a single member commits a proposal as soon as the entry is on disk.
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
	processReady := func() {
		for node.HasReady() {
			ready := node.Ready()
			// A real driver persists ready.HardState, ready.Snapshot and ready.Entries
			// with a sync and then sends ready.Messages before it applies the entries.
			for _, entry := range ready.CommittedEntries {
				if entry.Kind == consensus.EntryNormal {
					fmt.Printf("index %d: %s\n", entry.Index, entry.Data)
				}
			}
			node.Advance(ready)
		}
	}
	node.Tick(0)
	node.Tick(2 * time.Second) // longer than any election timeout
	processReady()
	if _, _, err := node.Propose(2*time.Second, []byte("change")); err != nil {
		fmt.Println(err)
	}
	processReady()
	// Output: index 3: change
}
