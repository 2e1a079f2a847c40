package statemachine

import (
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
)

// OperationLimit is the number of newest answers to operations that are kept.
const OperationLimit = 10_000

// OperationEntry is one kept operation and the serial that made its answer visible.
type OperationEntry struct {
	Name   registry.Name `cbor:"1,keyasint"`
	Serial uint32        `cbor:"2,keyasint"`
}

// OperationLog keeps, oldest first, the serial at which the answer to each kept
// operation became visible. The zero value is empty.
type OperationLog struct {
	list    []OperationEntry // may contain entries that were deleted since
	serials map[registry.Name]uint32
}

// Serial returns the serial that made an operation's answer visible; 0 if the
// operation is not kept.
func (l *OperationLog) Serial(name registry.Name) uint32 { return l.serials[name] }

// Surplus returns the oldest operations, which have to go so that at most limit
// are kept after one more.
func (l *OperationLog) Surplus(limit int) []registry.Name {
	count := len(l.serials) + 1 - limit
	var names []registry.Name
	for _, entry := range l.list {
		if len(names) >= count {
			break
		}
		if l.keeps(entry) {
			names = append(names, entry.Name)
		}
	}
	return names
}

// follow records what an applied update has changed.
func (l *OperationLog) follow(update *registry.Update, result registry.Result) {
	if result.Code != registry.NoError || !result.Changed {
		return
	}
	for _, change := range update.Changes {
		if change.Type != catalog.TypeOperation {
			continue
		}
		if change.Class == registry.ClassTable {
			l.add(OperationEntry{Name: change.Name, Serial: result.Serial})
			continue
		}
		delete(l.serials, change.Name)
	}
	l.trim()
}

func (l *OperationLog) add(entry OperationEntry) {
	if l.serials == nil {
		l.serials = make(map[registry.Name]uint32)
	}
	if _, known := l.serials[entry.Name]; known {
		return
	}
	l.serials[entry.Name] = entry.Serial
	l.list = append(l.list, entry)
}

// trim drops deleted entries from the front, where the oldest are.
func (l *OperationLog) trim() {
	for len(l.list) > 0 && !l.keeps(l.list[0]) {
		l.list = l.list[1:]
	}
}

func (l *OperationLog) keeps(entry OperationEntry) bool {
	serial, known := l.serials[entry.Name]
	return known && serial == entry.Serial
}

func (l *OperationLog) restore(entries []OperationEntry) {
	l.list = nil
	l.serials = make(map[registry.Name]uint32, len(entries))
	for _, entry := range entries {
		l.add(entry)
	}
}

// entries returns what is kept, oldest first.
func (l *OperationLog) entries() []OperationEntry {
	kept := make([]OperationEntry, 0, len(l.serials))
	for _, entry := range l.list {
		if l.keeps(entry) {
			kept = append(kept, entry)
		}
	}
	return kept
}
