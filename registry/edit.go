package registry

import (
	"bytes"

	"github.com/google/btree"
)

// transaction is a change of a table in the making. It works on a clone of the tree,
// so dropping it undoes everything (section 3.4.2.1).
type transaction struct {
	apex    Name
	soa     SOA
	schema  *Schema
	tree    *btree.BTreeG[rrset]
	count   int
	changes changeLog
}

// recordKey is what section 1.1.1 compares, within one table.
type recordKey struct {
	name Name
	kind Type
	data string
}

// recordChange is a record before and after a change; nil is absent.
type recordChange struct {
	before, after *Record
}

// changeLog is the net difference made by a change, in order of first touch.
type changeLog struct {
	keys    []recordKey
	changes map[recordKey]*recordChange
}

func keyOf(record Record) recordKey {
	return recordKey{name: record.Name, kind: record.Type, data: string(record.Data)}
}

func (l *changeLog) change(record Record, before *Record) *recordChange {
	key := keyOf(record)
	if found := l.changes[key]; found != nil {
		return found
	}
	if l.changes == nil {
		l.changes = map[recordKey]*recordChange{}
	}
	created := &recordChange{before: before}
	l.changes[key] = created
	l.keys = append(l.keys, key)
	return created
}

func (l *changeLog) removed(record Record) {
	l.change(record, &record).after = nil
}

func (l *changeLog) added(record Record) {
	l.change(record, nil).after = &record
}

// net returns what differs between the two ends.
func (l *changeLog) net() (removed, added []Record) {
	for _, key := range l.keys {
		fate := l.changes[key]
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
func (e *transaction) replaceSet(key string, recordType Type, records []Record) {
	set := rrset{key: key, kind: recordType, records: records}
	if len(records) == 0 {
		e.tree.Delete(set)
		return
	}
	e.tree.ReplaceOrInsert(set)
}

// remove drops the records that match from one set.
func (e *transaction) remove(key string, recordType Type, match func(Record) bool) {
	set := findRRset(e.tree, key, recordType)
	kept := filterOut(set.records, func(record Record) bool {
		if !match(record) {
			return false
		}
		e.changes.removed(record)
		return true
	})
	if len(kept) == len(set.records) {
		return
	}
	e.count -= len(set.records) - len(kept)
	e.replaceSet(key, recordType, kept)
}

// insert stores a record that is not in its set yet.
func (e *transaction) insert(key string, record Record) {
	set := findRRset(e.tree, key, record.Type)
	e.replaceSet(key, record.Type, insertRecord(set.records, record))
	e.changes.added(record)
	e.count++
}

// apply processes one record of the update section (3.4.2). Its name is canonical.
func (e *transaction) apply(record Record) {
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
func (e *transaction) add(record Record) {
	key := record.Name.key()
	if record.Type == TypeSOA {
		e.replaceSOA(record)
		return
	}
	if e.cnameConflict(key, record.Type) {
		return
	}
	e.put(key, record)
}

// put stores a record in place of those that its kind replaces.
func (e *transaction) put(key string, record Record) {
	kind := e.schema.kinds[record.Type]
	record.Data = bytes.Clone(record.Data)
	e.remove(key, record.Type, func(existing Record) bool {
		return kind.replaces(existing.Data, record.Data)
	})
	e.insert(key, record)
}

// replaceSOA ignores a head that is not at the apex, or whose serial is zero or
// not higher than the current one: the text's "lower or equal" outranks the
// pseudocode's "greater".
func (e *transaction) replaceSOA(record Record) {
	head, err := decodeSOA(record.Data)
	if err != nil || record.Name != e.apex {
		return
	}
	if head.Serial == 0 || !SerialLess(e.soa.Serial, head.Serial) {
		return
	}
	e.soa = head
	e.put(record.Name.key(), Record{Name: e.apex, Type: TypeSOA, Class: ClassTable, TTL: record.TTL, Data: encodeSOA(head)})
}

// cnameConflict reports whether a CNAME would stand beside another kind.
func (e *transaction) cnameConflict(key string, recordType Type) bool {
	if recordType != TypeCNAME {
		return len(findRRset(e.tree, key, TypeCNAME).records) > 0
	}
	conflict := false
	eachRRsetAt(e.tree, key, func(set rrset) bool {
		conflict = set.kind != TypeCNAME
		return !conflict
	})
	return conflict
}

// deleteSets is section 3.4.2.3.
func (e *transaction) deleteSets(record Record) {
	key := record.Name.key()
	var kinds []Type
	eachRRsetAt(e.tree, key, func(set rrset) bool {
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
func (e *transaction) deleteRecord(record Record) {
	key := record.Name.key()
	if record.Name == e.apex {
		if record.Type == TypeSOA {
			return
		}
		if record.Type == TypeNS && len(findRRset(e.tree, key, TypeNS).records) <= 1 {
			return
		}
	}
	e.remove(key, record.Type, func(existing Record) bool {
		return bytes.Equal(existing.Data, record.Data)
	})
}

// raiseSerial increments the serial if the update did not (section 3.6).
func (e *transaction) raiseSerial(before uint32) {
	if e.soa.Serial != before {
		return
	}
	key := e.apex.key()
	var ttl uint32
	for _, record := range findRRset(e.tree, key, TypeSOA).records {
		ttl = record.TTL
	}
	e.soa.Serial = NextSerial(before)
	e.put(key, Record{Name: e.apex, Type: TypeSOA, Class: ClassTable, TTL: ttl, Data: encodeSOA(e.soa)})
}
