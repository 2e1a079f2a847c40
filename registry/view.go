package registry

import (
	"bytes"
	"sort"
	"strings"

	"github.com/google/btree"
)

// treeDegree balances the nodes copied by a change against the depth of a search.
const treeDegree = 16

// recordSet is all records of one name and type, sorted by data. It is never
// changed once it is in a tree.
type recordSet struct {
	key     string
	kind    Type
	records []Record
}

// content is the whole of a table at one serial. It is never changed once published.
type content struct {
	apex  Name
	head  SOA
	tree  *btree.BTreeG[recordSet]
	count int
}

// View is an immutable reading of a table at one serial. Taking one costs O(1).
// It may be used by any number of goroutines while the table goes on changing.
// The zero View is empty. Data of the records it returns must not be changed.
type View struct {
	content *content
}

func lessSet(a, b recordSet) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.kind < b.kind
}

func newTree() *btree.BTreeG[recordSet] {
	return btree.NewG(treeDegree, lessSet)
}

// Serial returns the serial that the view shows, zero for an empty view.
func (v View) Serial() uint32 { return v.SOA().Serial }

// SOA returns the data of the head record.
func (v View) SOA() SOA {
	if v.content == nil {
		return SOA{}
	}
	return v.content.head
}

// Apex returns the name of the table.
func (v View) Apex() Name {
	if v.content == nil {
		return ""
	}
	return v.content.apex
}

// Len returns the number of records.
func (v View) Len() int {
	if v.content == nil {
		return 0
	}
	return v.content.count
}

// Lookup returns the records of the type at the name, ordered by data. TypeANY
// matches every type.
func (v View) Lookup(name Name, recordType Type) []Record {
	if v.content == nil {
		return nil
	}
	name, err := canonicalName(name)
	if err != nil {
		return nil
	}
	if recordType != TypeANY {
		set := findSet(v.content.tree, name.key(), recordType)
		return append([]Record(nil), set.records...)
	}
	var records []Record
	eachSetAt(v.content.tree, name.key(), func(set recordSet) bool {
		records = append(records, set.records...)
		return true
	})
	return records
}

// InUse reports whether any record is at the name itself (2.4.4).
func (v View) InUse(name Name) bool {
	if v.content == nil {
		return false
	}
	name, err := canonicalName(name)
	return err == nil && nameInUse(v.content.tree, name.key())
}

// Walk calls visit for the records of the type (TypeANY for all) at and below
// the name, each name before those below it, until visit returns false.
func (v View) Walk(under Name, recordType Type, visit func(Record) bool) {
	if v.content == nil {
		return
	}
	under, err := canonicalName(under)
	if err != nil {
		return
	}
	prefix := under.key()
	v.content.tree.AscendGreaterOrEqual(recordSet{key: prefix}, func(set recordSet) bool {
		if !strings.HasPrefix(set.key, prefix) {
			return false
		}
		if recordType != TypeANY && set.kind != recordType {
			return true
		}
		for _, record := range set.records {
			if !visit(record) {
				return false
			}
		}
		return true
	})
}

func findSet(tree *btree.BTreeG[recordSet], key string, recordType Type) recordSet {
	set, _ := tree.Get(recordSet{key: key, kind: recordType})
	return set
}

// eachSetAt visits the sets at exactly one name, in the order of their types.
func eachSetAt(tree *btree.BTreeG[recordSet], key string, visit func(recordSet) bool) {
	tree.AscendGreaterOrEqual(recordSet{key: key}, func(set recordSet) bool {
		return set.key == key && visit(set)
	})
}

func nameInUse(tree *btree.BTreeG[recordSet], key string) bool {
	found := false
	eachSetAt(tree, key, func(recordSet) bool {
		found = true
		return false
	})
	return found
}

// with returns the records with one more, in order of data. The record must not
// be among them.
func with(records []Record, record Record) []Record {
	at := sort.Search(len(records), func(i int) bool {
		return bytes.Compare(records[i].Data, record.Data) >= 0
	})
	grown := make([]Record, 0, len(records)+1)
	grown = append(grown, records[:at]...)
	grown = append(grown, record)
	return append(grown, records[at:]...)
}

// without returns the records that drop does not pick.
func without(records []Record, drop func(Record) bool) []Record {
	var kept []Record
	for _, record := range records {
		if !drop(record) {
			kept = append(kept, record)
		}
	}
	return kept
}
