package registry

import (
	"bytes"
	"fmt"
)

// Class determines the meaning of a record within a section (sections 2.4, 2.5).
type Class uint16

const (
	// ClassTable is the class of the records in the table. In an update it marks a value
	// that is required or added.
	ClassTable Class = 1
	// ClassNone means that something must not exist, or that one record is deleted.
	ClassNone Class = 254
	// ClassAny means that something must exist, or that an RRset or name is deleted,
	// whatever its data.
	ClassAny Class = 255
)

// String returns the mnemonic of the class.
func (c Class) String() string {
	switch c {
	case ClassTable:
		return "TABLE"
	case ClassNone:
		return "NONE"
	case ClassAny:
		return "ANY"
	}
	return fmt.Sprintf("CLASS%d", uint16(c))
}

// Type is the type of a record. Values below 256 are those of DNS; values from
// FirstPrivateType on are declared by the embedding program's Schema.
type Type uint16

const (
	TypeNS    Type = 2 // names one server of the table
	TypeCNAME Type = 5
	TypeSOA   Type = 6 // names the primary and carries the serial, see SOA
	TypeWKS   Type = 11
	TypeAXFR  Type = 252
	TypeMAILB Type = 253
	TypeMAILA Type = 254
	TypeANY   Type = 255
	// FirstPrivateType is the lowest type that a Schema may declare.
	FirstPrivateType Type = 1024
)

// Record is one resource record (section 1). Data must be in the canonical
// encoding of its type, since equality compares bytes (section 1.1.1).
type Record struct {
	Name  Name   `cbor:"1,keyasint"`
	Type  Type   `cbor:"2,keyasint"`
	Class Class  `cbor:"3,keyasint"`
	TTL   uint32 `cbor:"4,keyasint,omitempty"` // seconds; never compared
	Data  []byte `cbor:"5,keyasint,omitempty"`
}

// SOA is the decoded data of an SOA record.
type SOA struct {
	Primary string `cbor:"1,keyasint"` // name of the primary
	Serial  uint32 `cbor:"2,keyasint"` // never zero (section 7.11)
	Refresh uint32 `cbor:"3,keyasint"` // seconds between a secondary's checks for changes
	Expire  uint32 `cbor:"4,keyasint"` // seconds
}

// SOARecord returns the SOA record of the table at apex.
func SOARecord(apex Name, soa SOA) Record {
	return Record{Name: apex, Type: TypeSOA, Class: ClassTable, Data: encodeSOA(soa)}
}

// NSRecord returns an NS record that names one server of the table at apex.
func NSRecord(apex Name, server string) Record {
	return Record{Name: apex, Type: TypeNS, Class: ClassTable, Data: []byte(server)}
}

// sameRecord reports whether two records are equal as defined in section 1.1.1, which
// does not compare the TTL.
func sameRecord(a, b Record) bool {
	return a.Name == b.Name && a.Class == b.Class && a.Type == b.Type && bytes.Equal(a.Data, b.Data)
}
