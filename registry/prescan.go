package registry

// prescan implements section 3.4.1: it checks all records of the update section before
// the first change is made, and returns the first error.
func prescan(apex Name, schema *Schema, section []Record) Result {
	for i, record := range section {
		if code, reason := prescanRecord(apex, schema, record); code != NoError {
			return Result{Code: code, FailedIndex: i, Section: SectionChange, Reason: reason}
		}
	}
	return Result{FailedIndex: noFailedRecord}
}

// prescanRecord checks class, then name, then type, TTL and data, in the order of the
// text; the pseudocode checks the name first.
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
