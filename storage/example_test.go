package storage_test

import (
	"fmt"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/storage"
)

// Saves an entry, which survives a crash. Use storage.Open for a store on disk.
func Example() {
	store := storage.NewMemory("disk-1")
	state := consensus.HardState{Term: 3}
	entries := []consensus.Entry{{Index: 1, Term: 3, Data: []byte("change")}}
	if err := store.Save(&state, entries); err != nil {
		fmt.Println(err)
	}
	store.Crash()
	store.Reopen()
	loaded, err := store.Load()
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf("%s: term %d, %s\n", loaded.Identity, loaded.HardState.Term, loaded.Entries[0].Data)
	// Output: disk-1: term 3, change
}
