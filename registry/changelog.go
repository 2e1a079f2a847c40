package registry

// recordKey is what section 1.1.1 compares, within one table.
type recordKey struct {
	name       Name
	recordType Type
	data       string
}

// recordChange is a record before and after a change; nil is absent.
type recordChange struct {
	before, after *Record
}

// changeLog accumulates the net difference of consecutive changes. Its order is
// that in which the records were first touched, so equal changes give equal logs.
type changeLog struct {
	keys    []recordKey
	changes map[recordKey]*recordChange
}

func keyOf(record Record) recordKey {
	return recordKey{name: record.Name, recordType: record.Type, data: string(record.Data)}
}

// change returns the record's entry. A new one starts from before.
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

// net returns the records that differ between the state before the first change
// and that after the last. A record whose TTL changed is in both lists.
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
