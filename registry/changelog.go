package registry

// recordKey identifies a record within one table by the fields that section 1.1.1
// compares.
type recordKey struct {
	name       Name
	recordType Type
	data       string
}

// recordChange is a record before and after a change; nil means absent.
type recordChange struct {
	before, after *Record
}

// changeLog accumulates the net difference of consecutive changes. The records are in
// the order in which they were first changed, so equal changes give equal logs.
type changeLog struct {
	keys    []recordKey
	changes map[recordKey]*recordChange
}

func keyOf(record Record) recordKey {
	return recordKey{name: record.Name, recordType: record.Type, data: string(record.Data)}
}

// change returns the record's entry. If there is none yet, it adds one whose state before
// the changes is before.
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

// net returns the records that differ between the state before the first change and
// the state after the last one. A record whose TTL has changed is in both lists.
func (l *changeLog) net() (removed, added []Record) {
	for _, key := range l.keys {
		change := l.changes[key]
		if change.before != nil && change.after != nil && change.before.TTL == change.after.TTL {
			continue
		}
		if change.before != nil {
			removed = append(removed, *change.before)
		}
		if change.after != nil {
			added = append(added, *change.after)
		}
	}
	return removed, added
}
