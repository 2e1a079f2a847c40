package registry

import (
	"strings"

	"github.com/google/btree"
)

// tableState is the state of a table at one serial. It is immutable once published.
type tableState struct {
	apex  Name
	soa   SOA
	tree  *btree.BTreeG[rrset]
	count int // records
}

// View is an immutable snapshot of a table at one serial. Taking one costs O(1).
// Any number of goroutines may use it while the table goes on changing. The zero
// View is empty. The Data of the records it returns must not be modified.
type View struct {
	state *tableState
}

// Serial returns the serial of the view, 0 for an empty one.
func (v View) Serial() uint32 { return v.SOA().Serial }

// SOA returns the data of the SOA record, the zero SOA for an empty view.
func (v View) SOA() SOA {
	if v.state == nil {
		return SOA{}
	}
	return v.state.soa
}

// Apex returns the name of the table, "" for an empty view.
func (v View) Apex() Name {
	if v.state == nil {
		return ""
	}
	return v.state.apex
}

// Len returns the number of records.
func (v View) Len() int {
	if v.state == nil {
		return 0
	}
	return v.state.count
}

// Lookup returns a copy of the records of the type at the name, sorted by data.
// TypeANY matches every type. A malformed name has no records.
func (v View) Lookup(name Name, recordType Type) []Record {
	if v.state == nil {
		return nil
	}
	name, err := canonicalName(name)
	if err != nil {
		return nil
	}
	if recordType != TypeANY {
		set := findRRset(v.state.tree, name.key(), recordType)
		return append([]Record(nil), set.records...)
	}
	var records []Record
	eachRRsetAt(v.state.tree, name.key(), func(set rrset) bool {
		records = append(records, set.records...)
		return true
	})
	return records
}

// InUse reports whether any record is at the name itself (section 2.4.4).
func (v View) InUse(name Name) bool {
	if v.state == nil {
		return false
	}
	name, err := canonicalName(name)
	return err == nil && nameInUse(v.state.tree, name.key())
}

// Walk calls visit for the records of the type (TypeANY for all) at and below
// the name, each name before those below it, until visit returns false.
func (v View) Walk(under Name, recordType Type, visit func(Record) bool) {
	if v.state == nil {
		return
	}
	under, err := canonicalName(under)
	if err != nil {
		return
	}
	prefix := under.key()
	v.state.tree.AscendGreaterOrEqual(rrset{key: prefix}, func(set rrset) bool {
		if !strings.HasPrefix(set.key, prefix) {
			return false
		}
		if recordType != TypeANY && set.recordType != recordType {
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
