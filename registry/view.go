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
	count int // number of records
}

// View is an immutable snapshot of a table at one serial. Taking one costs O(1). It is
// safe for concurrent use, also while the table changes. The zero View is empty. Callers
// must not modify the Data of the records that its methods return.
type View struct {
	state *tableState
}

// Serial returns the serial of the view, or 0 if it is empty.
func (v View) Serial() uint32 { return v.SOA().Serial }

// SOA returns the data of the SOA record, or the zero SOA if the view is empty.
func (v View) SOA() SOA {
	if v.state == nil {
		return SOA{}
	}
	return v.state.soa
}

// Apex returns the name of the table, or "" for the zero View.
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
// TypeANY matches every type. The result for a malformed name is empty.
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

// InUse reports whether there is a record at exactly this name (section 2.4.4).
func (v View) InUse(name Name) bool {
	if v.state == nil {
		return false
	}
	name, err := canonicalName(name)
	return err == nil && nameInUse(v.state.tree, name.key())
}

// Walk calls visit for the records of the type (TypeANY for all types) at and below the
// name, with each name before the names below it, until visit returns false.
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
