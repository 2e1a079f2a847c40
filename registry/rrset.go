package registry

import (
	"bytes"
	"sort"

	"github.com/google/btree"
)

// treeDegree is a compromise between the size of the nodes that a change copies and the
// depth of the tree.
const treeDegree = 16

// rrset has all records of one name and type, sorted by data. It is immutable once it is
// in a tree.
type rrset struct {
	key        string // sort key of the name, see Name.key
	recordType Type
	records    []Record
}

func lessRRset(a, b rrset) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.recordType < b.recordType
}

func newTree() *btree.BTreeG[rrset] {
	return btree.NewG(treeDegree, lessRRset)
}

// findRRset returns the RRset of the name and type, or one without records if there is
// none.
func findRRset(tree *btree.BTreeG[rrset], key string, recordType Type) rrset {
	set, _ := tree.Get(rrset{key: key, recordType: recordType})
	return set
}

// eachRRsetAt visits the RRsets at exactly one name, in the order of their types.
func eachRRsetAt(tree *btree.BTreeG[rrset], key string, visit func(rrset) bool) {
	tree.AscendGreaterOrEqual(rrset{key: key}, func(set rrset) bool {
		return set.key == key && visit(set)
	})
}

func nameInUse(tree *btree.BTreeG[rrset], key string) bool {
	found := false
	eachRRsetAt(tree, key, func(rrset) bool {
		found = true
		return false
	})
	return found
}

// insertRecord returns a copy of the records with the record inserted, sorted by data.
// The record must not be among them yet.
func insertRecord(records []Record, record Record) []Record {
	at := sort.Search(len(records), func(i int) bool {
		return bytes.Compare(records[i].Data, record.Data) >= 0
	})
	inserted := make([]Record, 0, len(records)+1)
	inserted = append(inserted, records[:at]...)
	inserted = append(inserted, record)
	return append(inserted, records[at:]...)
}

// filterOut returns the records that do not match, in a new slice.
func filterOut(records []Record, match func(Record) bool) []Record {
	var remaining []Record
	for _, record := range records {
		if !match(record) {
			remaining = append(remaining, record)
		}
	}
	return remaining
}
