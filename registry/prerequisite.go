package registry

// rrsetKey identifies an RRset within a table.
type rrsetKey struct {
	name       Name
	recordType Type
}

// checkPrerequisites implements section 3.2. Records are checked in order; RRsets
// required by value are compared after the last record, as in the pseudocode.
func checkPrerequisites(state *tableState, section []Record) Result {
	required := map[rrsetKey][]Record{}
	var keys []rrsetKey // keys of required, in order of first appearance
	firstIndex := map[rrsetKey]int{}
	for i, record := range section {
		name, code, reason := checkName(state.apex, record.Name)
		if code == NoError {
			record.Name = name
			code = checkPrerequisite(state, record)
		}
		if code != NoError {
			return Result{Code: code, FailedIndex: i, Section: SectionPrerequisite, Reason: reason}
		}
		if record.Class != ClassTable {
			continue
		}
		key := rrsetKey{name: name, recordType: record.Type}
		if _, found := firstIndex[key]; !found {
			firstIndex[key] = i
			keys = append(keys, key)
		}
		required[key] = append(required[key], record)
	}
	for _, key := range keys {
		if !rrsetEquals(findRRset(state.tree, key.name.key(), key.recordType).records, required[key]) {
			return Result{Code: NXRRSet, FailedIndex: firstIndex[key], Section: SectionPrerequisite}
		}
	}
	return Result{FailedIndex: noFailedRecord}
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

// checkPrerequisite checks one record as in sections 3.2.1 to 3.2.3. The last else of
// the pseudocode would also reject the classes ANY and NONE; the text rejects only
// classes other than these two and the table's.
func checkPrerequisite(state *tableState, record Record) ResponseCode {
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
	required := record.Class == ClassAny
	if record.Type == TypeANY {
		return checkExistence(required, nameInUse(state.tree, key), NXDomain, YXDomain)
	}
	found := len(findRRset(state.tree, key, record.Type).records) > 0
	return checkExistence(required, found, NXRRSet, YXRRSet)
}

// checkExistence returns missing if existence is required but nothing was found, and
// present if absence is required but something was found.
func checkExistence(required, found bool, missing, present ResponseCode) ResponseCode {
	switch {
	case required && !found:
		return missing
	case !required && found:
		return present
	}
	return NoError
}

// rrsetEquals reports whether an RRset has exactly the data of the required records.
// TTLs are not compared, and duplicate required records count once.
func rrsetEquals(records, required []Record) bool {
	distinct := map[string]bool{}
	for _, record := range required {
		distinct[string(record.Data)] = true
	}
	if len(distinct) != len(records) {
		return false
	}
	for _, record := range records {
		if !distinct[string(record.Data)] {
			return false
		}
	}
	return true
}
