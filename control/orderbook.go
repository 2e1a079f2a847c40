package control

import (
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
)

// orderLimit is the number of newest order answers that are kept.
const orderLimit = 10_000

// orderEntry is one kept order and the serial that made it visible.
type orderEntry struct {
	Name   registry.Name `cbor:"1,keyasint"`
	Serial uint32        `cbor:"2,keyasint"`
}

// orderBook remembers, oldest first, at which serial each kept order became
// visible. It follows from the log alone, so every copy has the same. It is
// part of the snapshot.
type orderBook struct {
	list    []orderEntry // may hold entries that were deleted since
	serials map[registry.Name]uint32
}

// follow takes an applied update in.
func (b *orderBook) follow(update *registry.Update, result registry.Result) {
	if result.Code != registry.NoError || !result.Changed {
		return
	}
	for _, change := range update.Changes {
		if change.Type != catalog.TypeOperation {
			continue
		}
		if change.Class == registry.ClassTable {
			b.add(orderEntry{Name: change.Name, Serial: result.Serial})
			continue
		}
		delete(b.serials, change.Name)
	}
	b.trim()
}

func (b *orderBook) add(entry orderEntry) {
	if b.serials == nil {
		b.serials = make(map[registry.Name]uint32)
	}
	if _, known := b.serials[entry.Name]; known {
		return
	}
	b.serials[entry.Name] = entry.Serial
	b.list = append(b.list, entry)
}

// trim drops deleted entries from the front, where the oldest are.
func (b *orderBook) trim() {
	for len(b.list) > 0 && !b.kept(b.list[0]) {
		b.list = b.list[1:]
	}
}

func (b *orderBook) kept(entry orderEntry) bool {
	serial, known := b.serials[entry.Name]
	return known && serial == entry.Serial
}

func (b *orderBook) restore(entries []orderEntry) {
	b.list = nil
	b.serials = make(map[registry.Name]uint32, len(entries))
	for _, entry := range entries {
		b.add(entry)
	}
}

// entries lists what is kept, oldest first.
func (b *orderBook) entries() []orderEntry {
	kept := make([]orderEntry, 0, len(b.serials))
	for _, entry := range b.list {
		if b.kept(entry) {
			kept = append(kept, entry)
		}
	}
	return kept
}

// surplus names the oldest orders that one more order pushes out.
func (b *orderBook) surplus(limit int) []registry.Name {
	count := len(b.serials) + 1 - limit
	var names []registry.Name
	for _, entry := range b.list {
		if len(names) >= count {
			break
		}
		if b.kept(entry) {
			names = append(names, entry.Name)
		}
	}
	return names
}
