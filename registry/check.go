package registry

import "bytes"

// setKey names one set of records within a table.
type setKey struct {
	name Name
	kind Type
}

// checkPrerequisites is section 3.2. Records are judged in order; sets required
// with a value are compared after the last record, as the pseudocode has it.
func checkPrerequisites(now *content, section []Record) Result {
	required := map[setKey][]Record{}
	var order []setKey
	firstOf := map[setKey]int{}
	for i, record := range section {
		name, code, reason := checkName(now.apex, record.Name)
		if code == NoError {
			record.Name = name
			code = checkPrerequisite(now, record)
		}
		if code != NoError {
			return Result{Code: code, FailedIndex: i, Section: SectionPrerequisite, Reason: reason}
		}
		if record.Class != ClassTable {
			continue
		}
		key := setKey{name: name, kind: record.Type}
		if _, seen := firstOf[key]; !seen {
			firstOf[key] = i
			order = append(order, key)
		}
		required[key] = append(required[key], record)
	}
	for _, key := range order {
		if !setEquals(findSet(now.tree, key.name.key(), key.kind).records, required[key]) {
			return Result{Code: NXRRSet, FailedIndex: firstOf[key], Section: SectionPrerequisite}
		}
	}
	return Result{FailedIndex: -1}
}

// checkName canonicalizes a record's name and requires it to be in the table.
func checkName(apex, name Name) (Name, ResponseCode, error) {
	canonical, err := canonicalName(name)
	if err != nil {
		return "", FormErr, err
	}
	if !canonical.In(apex) {
		return "", NotZone, nil
	}
	return canonical, NoError, nil
}

// checkPrerequisite judges one record by sections 3.2.1 to 3.2.3. The
// pseudocode's last else would also reject classes ANY and NONE; the text rejects
// only classes that are none of the three.
func checkPrerequisite(now *content, record Record) ResponseCode {
	if record.TTL != 0 {
		return FormErr
	}
	switch record.Class {
	case ClassTable:
		return NoError
	case ClassAny, ClassNone:
		if len(record.Data) != 0 {
			return FormErr
		}
	default:
		return FormErr
	}
	key := record.Name.key()
	wanted := record.Class == ClassAny
	if record.Type == TypeANY {
		return existence(wanted, nameInUse(now.tree, key), NXDomain, YXDomain)
	}
	found := len(findSet(now.tree, key, record.Type).records) > 0
	return existence(wanted, found, NXRRSet, YXRRSet)
}

func existence(wanted, found bool, missing, present ResponseCode) ResponseCode {
	switch {
	case wanted && !found:
		return missing
	case !wanted && found:
		return present
	}
	return NoError
}

// setEquals compares two sets of one name and type, lifetimes and repeats ignored.
func setEquals(have, want []Record) bool {
	distinct := map[string]bool{}
	for _, record := range want {
		distinct[string(record.Data)] = true
	}
	if len(distinct) != len(have) {
		return false
	}
	for _, record := range have {
		if !distinct[string(record.Data)] {
			return false
		}
	}
	return true
}

// prescan is section 3.4.1: it finds every error of the update section before
// the first change is made.
func prescan(apex Name, schema *Schema, section []Record) Result {
	for i, record := range section {
		if code, reason := prescanRecord(apex, schema, record); code != NoError {
			return Result{Code: code, FailedIndex: i, Section: SectionChange, Reason: reason}
		}
	}
	return Result{FailedIndex: -1}
}

// prescanRecord checks class, then name, then type, lifetime and data, in the
// text's order; the pseudocode looks at the name first.
func prescanRecord(apex Name, schema *Schema, record Record) (ResponseCode, error) {
	if record.Class != ClassTable && record.Class != ClassAny && record.Class != ClassNone {
		return FormErr, nil
	}
	if _, code, reason := checkName(apex, record.Name); code != NoError {
		return code, reason
	}
	kind, known := schema.kinds[record.Type]
	if !known && (record.Class != ClassAny || record.Type != TypeANY) {
		return FormErr, nil
	}
	if record.Class != ClassTable && record.TTL != 0 {
		return FormErr, nil
	}
	if record.Class == ClassAny && len(record.Data) != 0 {
		return FormErr, nil
	}
	if record.Class == ClassTable && kind.Check != nil {
		if err := kind.Check(record.Data); err != nil {
			return FormErr, err
		}
	}
	return NoError, nil
}

// sameRecord compares two records by section 1.1.1.
func sameRecord(a, b Record) bool {
	return a.Name == b.Name && a.Class == b.Class && a.Type == b.Type && bytes.Equal(a.Data, b.Data)
}
