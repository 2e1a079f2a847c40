package registry

// Exists requires a set of the type at the name, whatever its value (2.4.1).
func Exists(name Name, recordType Type) Record {
	return Record{Name: name, Type: recordType, Class: ClassAny}
}

// Equals requires, with the other records of its name and type in the section,
// that the set holds exactly these (2.4.2).
func Equals(record Record) Record {
	record.Class = ClassTable
	record.TTL = 0
	return record
}

// Absent requires that no set of the type is at the name (2.4.3).
func Absent(name Name, recordType Type) Record {
	return Record{Name: name, Type: recordType, Class: ClassNone}
}

// InUse requires at least one record at the name (2.4.4).
func InUse(name Name) Record {
	return Record{Name: name, Type: TypeANY, Class: ClassAny}
}

// NotInUse requires that no record is at the name (2.4.5).
func NotInUse(name Name) Record {
	return Record{Name: name, Type: TypeANY, Class: ClassNone}
}

// Add adds the record to its set (2.5.1).
func Add(record Record) Record {
	record.Class = ClassTable
	return record
}

// DeleteSet deletes the set of the type at the name (2.5.2).
func DeleteSet(name Name, recordType Type) Record {
	return Record{Name: name, Type: recordType, Class: ClassAny}
}

// DeleteName deletes every set at the name (2.5.3).
func DeleteName(name Name) Record {
	return Record{Name: name, Type: TypeANY, Class: ClassAny}
}

// DeleteRecord deletes the one record from its set (2.5.4).
func DeleteRecord(record Record) Record {
	record.Class = ClassNone
	record.TTL = 0
	return record
}

// NewUpdate composes an update of the table at apex.
func NewUpdate(apex Name, prerequisites, changes []Record) Update {
	return Update{
		Tables:        []TableEntry{{Name: apex, Type: TypeSOA, Class: ClassTable}},
		Prerequisites: prerequisites,
		Changes:       changes,
	}
}

// SOARecord returns the SOA record of the table at apex.
func SOARecord(apex Name, head SOA) Record {
	return Record{Name: apex, Type: TypeSOA, Class: ClassTable, Data: encodeHead(head)}
}

// NSRecord returns the NS record that names server a server of the table.
func NSRecord(apex Name, server string) Record {
	return Record{Name: apex, Type: TypeNS, Class: ClassTable, Data: []byte(server)}
}
