package registry

// TableEntry is an entry of an update's zone section, which must have exactly one
// (section 2.3).
type TableEntry struct {
	Name  Name  `cbor:"1,keyasint"`
	Type  Type  `cbor:"2,keyasint"` // must be TypeSOA
	Class Class `cbor:"3,keyasint"` // must be ClassTable
}

// Update is an update message without its header (section 2).
type Update struct {
	Tables        []TableEntry `cbor:"1,keyasint"`
	Prerequisites []Record     `cbor:"2,keyasint,omitempty"`
	Changes       []Record     `cbor:"3,keyasint,omitempty"`
	Additional    []Record     `cbor:"4,keyasint,omitempty"`
	// Requestor names the sender for the permission check of section 3.3.
	Requestor string `cbor:"5,keyasint,omitempty"`
}

// NewUpdate returns an update of the table at apex.
func NewUpdate(apex Name, prerequisites, changes []Record) Update {
	return Update{
		Tables:        []TableEntry{{Name: apex, Type: TypeSOA, Class: ClassTable}},
		Prerequisites: prerequisites,
		Changes:       changes,
	}
}

// Exists requires that an RRset of the type exists at the name, whatever its data
// (section 2.4.1).
func Exists(name Name, recordType Type) Record {
	return Record{Name: name, Type: recordType, Class: ClassAny}
}

// Equals requires that the RRset of the record's name and type consists of exactly those
// records that the update's Equals prerequisites list for it (section 2.4.2).
func Equals(record Record) Record {
	record.Class = ClassTable
	record.TTL = 0
	return record
}

// Absent requires that no RRset of the type exists at the name (section 2.4.3).
func Absent(name Name, recordType Type) Record {
	return Record{Name: name, Type: recordType, Class: ClassNone}
}

// InUse requires at least one record at the name (section 2.4.4).
func InUse(name Name) Record {
	return Record{Name: name, Type: TypeANY, Class: ClassAny}
}

// NotInUse requires that there is no record at the name (section 2.4.5).
func NotInUse(name Name) Record {
	return Record{Name: name, Type: TypeANY, Class: ClassNone}
}

// Add adds the record to its RRset (section 2.5.1).
func Add(record Record) Record {
	record.Class = ClassTable
	return record
}

// DeleteRRset deletes the RRset of the type at the name (section 2.5.2).
func DeleteRRset(name Name, recordType Type) Record {
	return Record{Name: name, Type: recordType, Class: ClassAny}
}

// DeleteName deletes every RRset at the name (section 2.5.3).
func DeleteName(name Name) Record {
	return Record{Name: name, Type: TypeANY, Class: ClassAny}
}

// DeleteRecord deletes the record from its RRset (section 2.5.4).
func DeleteRecord(record Record) Record {
	record.Class = ClassNone
	record.TTL = 0
	return record
}
