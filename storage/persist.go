package storage

import "github.com/deckpulley/deckpulley/consensus"

// Persist writes the snapshot of a Ready first, then its entries and hard state. The
// order matters at a power cut between the two: consensus.New repairs a snapshot
// without its hard state, whereas entries without their snapshot would leave a gap.
func Persist(store Store, ready consensus.Ready) error {
	if ready.Snapshot != nil {
		if err := store.SaveSnapshot(*ready.Snapshot, ready.Snapshot.Index+1); err != nil {
			return err
		}
	}
	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	return store.Save(ready.HardState, ready.Entries)
}
