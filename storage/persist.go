package storage

import "github.com/deckpulley/deckpulley/consensus"

// Persist writes what a Ready asks for, in the one order that is safe at a
// power cut in between: a snapshot without its hard state is made good by
// consensus.New, whereas entries without their snapshot would leave a gap.
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
