package registry

import (
	"bytes"

	"github.com/google/btree"
)

// transaction is a change of a table that is not published yet. It modifies a clone of
// the tree, so discarding the transaction rolls it back (section 3.4.2.1).
type transaction struct {
	apex    Name
	soa     SOA
	schema  *Schema
	tree    *btree.BTreeG[rrset]
	count   int
	changes changeLog
}

// replaceRRset stores the records as the RRset of one name and type, or deletes the
// RRset if there are no records.
func (tx *transaction) replaceRRset(key string, recordType Type, records []Record) {
	set := rrset{key: key, recordType: recordType, records: records}
	if len(records) == 0 {
		tx.tree.Delete(set)
		return
	}
	tx.tree.ReplaceOrInsert(set)
}

// remove removes the matching records from one RRset.
func (tx *transaction) remove(key string, recordType Type, match func(Record) bool) {
	set := findRRset(tx.tree, key, recordType)
	remaining := filterOut(set.records, func(record Record) bool {
		if !match(record) {
			return false
		}
		tx.changes.removed(record)
		return true
	})
	if len(remaining) == len(set.records) {
		return
	}
	tx.count -= len(set.records) - len(remaining)
	tx.replaceRRset(key, recordType, remaining)
}

// insert adds a record to its RRset, which must not contain it yet.
func (tx *transaction) insert(key string, record Record) {
	set := findRRset(tx.tree, key, record.Type)
	tx.replaceRRset(key, record.Type, insertRecord(set.records, record))
	tx.changes.added(record)
	tx.count++
}

// apply processes one record of the update section (section 3.4.2). The record's name
// must be canonical.
func (tx *transaction) apply(record Record) {
	switch record.Class {
	case ClassTable:
		tx.add(record)
	case ClassAny:
		tx.deleteRRsets(record)
	case ClassNone:
		tx.deleteRecord(record)
	}
}

// add implements section 3.4.2.2.
func (tx *transaction) add(record Record) {
	key := record.Name.key()
	if record.Type == TypeSOA {
		tx.replaceSOA(record)
		return
	}
	if tx.cnameConflict(key, record.Type) {
		return
	}
	tx.put(key, record)
}

// put stores a record and removes those that it replaces.
func (tx *transaction) put(key string, record Record) {
	kind := tx.schema.kinds[record.Type]
	record.Data = bytes.Clone(record.Data)
	tx.remove(key, record.Type, func(existing Record) bool {
		return kind.replaces(existing.Data, record.Data)
	})
	tx.insert(key, record)
}

// replaceSOA replaces the SOA record. It ignores a record that is not at the apex, or
// whose serial is zero or not higher than the current one: the text ignores serials that
// are "lower or equal", while the pseudocode ignores only lower ones.
func (tx *transaction) replaceSOA(record Record) {
	soa, err := decodeSOA(record.Data)
	if err != nil || record.Name != tx.apex {
		return
	}
	if soa.Serial == 0 || !SerialLess(tx.soa.Serial, soa.Serial) {
		return
	}
	tx.putSOA(tx.apex.key(), soa, record.TTL)
}

// cnameConflict reports whether adding a record of the type would place a CNAME and a
// record of another type at the same name.
func (tx *transaction) cnameConflict(key string, recordType Type) bool {
	if recordType != TypeCNAME {
		return len(findRRset(tx.tree, key, TypeCNAME).records) > 0
	}
	conflict := false
	eachRRsetAt(tx.tree, key, func(set rrset) bool {
		conflict = set.recordType != TypeCNAME
		return !conflict
	})
	return conflict
}

// deleteRRsets implements section 3.4.2.3. The SOA and NS records at the apex are never
// deleted by it.
func (tx *transaction) deleteRRsets(record Record) {
	key := record.Name.key()
	var types []Type
	eachRRsetAt(tx.tree, key, func(set rrset) bool {
		if record.Type == TypeANY || record.Type == set.recordType {
			types = append(types, set.recordType)
		}
		return true
	})
	for _, recordType := range types {
		if record.Name == tx.apex && (recordType == TypeSOA || recordType == TypeNS) {
			continue
		}
		tx.remove(key, recordType, func(Record) bool { return true })
	}
}

// deleteRecord implements section 3.4.2.4. The SOA record and the last NS record at the
// apex are never deleted.
func (tx *transaction) deleteRecord(record Record) {
	key := record.Name.key()
	if record.Name == tx.apex {
		if record.Type == TypeSOA {
			return
		}
		if record.Type == TypeNS && len(findRRset(tx.tree, key, TypeNS).records) <= 1 {
			return
		}
	}
	tx.remove(key, record.Type, func(existing Record) bool {
		return bytes.Equal(existing.Data, record.Data)
	})
}

// raiseSerial increments the serial if the update has not changed it (section 3.6).
func (tx *transaction) raiseSerial(before uint32) {
	if tx.soa.Serial != before {
		return
	}
	key := tx.apex.key()
	var ttl uint32
	for _, record := range findRRset(tx.tree, key, TypeSOA).records {
		ttl = record.TTL
	}
	soa := tx.soa
	soa.Serial = NextSerial(before)
	tx.putSOA(key, soa, ttl)
}

// putSOA replaces the SOA record of the table. key is the apex's sort key.
func (tx *transaction) putSOA(key string, soa SOA, ttl uint32) {
	tx.soa = soa
	record := SOARecord(tx.apex, soa)
	record.TTL = ttl
	tx.put(key, record)
}

// state returns the table state that results from the transaction.
func (tx *transaction) state() *tableState {
	return &tableState{apex: tx.apex, soa: tx.soa, tree: tx.tree, count: tx.count}
}
