package statemachine

import (
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
)

// OperationLimit is the number of newest answers to operations that are retained.
const OperationLimit = 10_000

// OperationEntry is one retained operation and the serial that made its answer visible.
type OperationEntry struct {
	Name   registry.Name `cbor:"1,keyasint"`
	Serial uint32        `cbor:"2,keyasint"`
}

// OperationLog lists, oldest first, the operations whose answers are in the table, each
// with the serial that made its answer visible. The zero value is empty.
type OperationLog struct {
	list    []OperationEntry // may include operations deleted from serials since
	serials map[registry.Name]uint32
}

// Serial returns the serial that made an operation's answer visible; 0 if the operation is
// not retained.
func (l *OperationLog) Serial(name registry.Name) uint32 { return l.serials[name] }

// ExcessOperations returns the oldest operations: those that must be deleted when one is
// added, so that at most limit are retained.
func (l *OperationLog) ExcessOperations(limit int) []registry.Name {
	count := len(l.serials) + 1 - limit
	var names []registry.Name
	for _, entry := range l.list {
		if len(names) >= count {
			break
		}
		if l.contains(entry) {
			names = append(names, entry.Name)
		}
	}
	return names
}

// record adds the operations whose answers an applied update added to the table, and
// removes those whose answers it deleted.
func (l *OperationLog) record(update *registry.Update, result registry.Result) {
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

// trim drops deleted operations from the front of the list.
func (l *OperationLog) trim() {
	for len(l.list) > 0 && !l.contains(l.list[0]) {
		l.list = l.list[1:]
	}
}

// contains reports whether an entry of the list has not been deleted since.
func (l *OperationLog) contains(entry OperationEntry) bool {
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

// entries returns the retained operations, oldest first.
func (l *OperationLog) entries() []OperationEntry {
	kept := make([]OperationEntry, 0, len(l.serials))
	for _, entry := range l.list {
		if l.contains(entry) {
			kept = append(kept, entry)
		}
	}
	return kept
}
