package registry

import (
	"bytes"

	"github.com/google/btree"
)

// edit is a change of a table in the making. It works on a clone of the tree,
// so dropping it undoes everything (section 3.4.2.1).
type edit struct {
	apex    Name
	head    SOA
	schema  *Schema
	tree    *btree.BTreeG[recordSet]
	count   int
	changed changeLog
}

// recordKey is what section 1.1.1 compares, within one table.
type recordKey struct {
	name Name
	kind Type
	data string
}

// fate is a record before and after a change; nil is absent.
type fate struct {
	before, after *Record
}

// changeLog is the net difference made by a change, in order of first touch.
type changeLog struct {
	order []recordKey
	fates map[recordKey]*fate
}

func keyOf(record Record) recordKey {
	return recordKey{name: record.Name, kind: record.Type, data: string(record.Data)}
}

func (l *changeLog) fateOf(record Record, before *Record) *fate {
	key := keyOf(record)
	if found := l.fates[key]; found != nil {
		return found
	}
	if l.fates == nil {
		l.fates = map[recordKey]*fate{}
	}
	created := &fate{before: before}
	l.fates[key] = created
	l.order = append(l.order, key)
	return created
}

func (l *changeLog) removed(record Record) {
	l.fateOf(record, &record).after = nil
}

func (l *changeLog) added(record Record) {
	l.fateOf(record, nil).after = &record
}

// net returns what differs between the two ends.
func (l *changeLog) net() (removed, added []Record) {
	for _, key := range l.order {
		fate := l.fates[key]
		if fate.before != nil && fate.after != nil && fate.before.TTL == fate.after.TTL {
			continue
		}
		if fate.before != nil {
			removed = append(removed, *fate.before)
		}
		if fate.after != nil {
			added = append(added, *fate.after)
		}
	}
	return removed, added
}

// replaceSet stores the records as the set of one name and type.
func (e *edit) replaceSet(key string, recordType Type, records []Record) {
	set := recordSet{key: key, kind: recordType, records: records}
	if len(records) == 0 {
		e.tree.Delete(set)
		return
	}
	e.tree.ReplaceOrInsert(set)
}

// remove drops the records that match from one set.
func (e *edit) remove(key string, recordType Type, match func(Record) bool) {
	set := findSet(e.tree, key, recordType)
	kept := without(set.records, func(record Record) bool {
		if !match(record) {
			return false
		}
		e.changed.removed(record)
		return true
	})
	if len(kept) == len(set.records) {
		return
	}
	e.count -= len(set.records) - len(kept)
	e.replaceSet(key, recordType, kept)
}

// insert stores a record that is not in its set yet.
func (e *edit) insert(key string, record Record) {
	set := findSet(e.tree, key, record.Type)
	e.replaceSet(key, record.Type, with(set.records, record))
	e.changed.added(record)
	e.count++
}

// apply processes one record of the update section (3.4.2). Its name is canonical.
func (e *edit) apply(record Record) {
	switch record.Class {
	case ClassTable:
		e.add(record)
	case ClassAny:
		e.deleteSets(record)
	case ClassNone:
		e.deleteRecord(record)
	}
}

// add is section 3.4.2.2.
func (e *edit) add(record Record) {
	key := record.Name.key()
	if record.Type == TypeSOA {
		e.replaceHead(record)
		return
	}
	if e.aliasConflict(key, record.Type) {
		return
	}
	e.put(key, record)
}

// put stores a record in place of those that its kind replaces.
func (e *edit) put(key string, record Record) {
	kind := e.schema.kinds[record.Type]
	record.Data = bytes.Clone(record.Data)
	e.remove(key, record.Type, func(existing Record) bool {
		return kind.replaces(existing.Data, record.Data)
	})
	e.insert(key, record)
}

// replaceHead ignores a head that is not at the apex, or whose serial is zero or
// not higher than the current one: the text's "lower or equal" outranks the
// pseudocode's "greater".
func (e *edit) replaceHead(record Record) {
	head, err := decodeHead(record.Data)
	if err != nil || record.Name != e.apex {
		return
	}
	if head.Serial == 0 || !SerialLess(e.head.Serial, head.Serial) {
		return
	}
	e.head = head
	e.put(record.Name.key(), Record{Name: e.apex, Type: TypeSOA, Class: ClassTable, TTL: record.TTL, Data: encodeHead(head)})
}

// aliasConflict reports whether a CNAME would stand beside another kind.
func (e *edit) aliasConflict(key string, recordType Type) bool {
	if recordType != TypeCNAME {
		return len(findSet(e.tree, key, TypeCNAME).records) > 0
	}
	conflict := false
	eachSetAt(e.tree, key, func(set recordSet) bool {
		conflict = set.kind != TypeCNAME
		return !conflict
	})
	return conflict
}

// deleteSets is section 3.4.2.3.
func (e *edit) deleteSets(record Record) {
	key := record.Name.key()
	var kinds []Type
	eachSetAt(e.tree, key, func(set recordSet) bool {
		if record.Type == TypeANY || record.Type == set.kind {
			kinds = append(kinds, set.kind)
		}
		return true
	})
	for _, kind := range kinds {
		if record.Name == e.apex && (kind == TypeSOA || kind == TypeNS) {
			continue
		}
		e.remove(key, kind, func(Record) bool { return true })
	}
}

// deleteRecord is section 3.4.2.4.
func (e *edit) deleteRecord(record Record) {
	key := record.Name.key()
	if record.Name == e.apex {
		if record.Type == TypeSOA {
			return
		}
		if record.Type == TypeNS && len(findSet(e.tree, key, TypeNS).records) <= 1 {
			return
		}
	}
	e.remove(key, record.Type, func(existing Record) bool {
		return bytes.Equal(existing.Data, record.Data)
	})
}

// raiseSerial increments the serial if the update did not (section 3.6).
func (e *edit) raiseSerial(before uint32) {
	if e.head.Serial != before {
		return
	}
	key := e.apex.key()
	var ttl uint32
	for _, record := range findSet(e.tree, key, TypeSOA).records {
		ttl = record.TTL
	}
	e.head.Serial = NextSerial(before)
	e.put(key, Record{Name: e.apex, Type: TypeSOA, Class: ClassTable, TTL: ttl, Data: encodeHead(e.head)})
}
