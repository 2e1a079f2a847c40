package storage

import "github.com/deckpulley/deckpulley/consensus"

// Persist writes the snapshot of a Ready first, and then its entries and hard state. The
// order matters if the power is lost between the two writes: consensus.New can repair a
// snapshot without its hard state, but entries without their snapshot would leave a gap in
// the log.
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
