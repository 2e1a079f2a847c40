// Package registry implements the update path of DNS UPDATE (the Internet-Draft
// "Dynamic Updates in the Domain Name System", November 1996) over records of
// the embedder's own kinds. It is pure: no I/O, no clock, no goroutine.
//
// One Table is what the source calls a zone. The word zone is kept for
// availability zones everywhere else in this module.
package registry

// Name is a canonical domain name: lower case, absolute, dot-terminated
// (section 1.1.2). Use ParseName to make one from outside input.
type Name string

// Class selects the meaning of a record within a section (sections 2.4, 2.5).
type Class uint16

const (
	// ClassTable is the class of the table itself: a value.
	ClassTable Class = 1
	// ClassNone negates: does not exist, or delete this record.
	ClassNone Class = 254
	// ClassAny is value independent: exists, or delete all.
	ClassAny Class = 255
)

// Type is the kind of a record. Values below 256 are the source's, those from
// FirstOwnType on belong to the embedder's Schema.
type Type uint16

const (
	TypeNS    Type = 2 // member record: names a server of the table
	TypeCNAME Type = 5
	TypeSOA   Type = 6 // head record, see Head
	TypeWKS   Type = 11
	TypeAXFR  Type = 252
	TypeMAILB Type = 253
	TypeMAILA Type = 254
	TypeANY   Type = 255
	// FirstPrivateType is the first type that a Schema may declare.
	FirstPrivateType Type = 1024
)

// Record is one resource record (section 1). Data must be in the kind's
// canonical encoding, since equality compares bytes (section 1.1.1).
type Record struct {
	Name  Name   `cbor:"1,keyasint"`
	Type  Type   `cbor:"2,keyasint"`
	Class Class  `cbor:"3,keyasint"`
	TTL   uint32 `cbor:"4,keyasint,omitempty"` // seconds; never compared
	Data  []byte `cbor:"5,keyasint,omitempty"`
}

// TableEntry is the one record of the source's zone section (section 2.3).
type TableEntry struct {
	Name  Name  `cbor:"1,keyasint"`
	Type  Type  `cbor:"2,keyasint"` // must be TypeSOA
	Class Class `cbor:"3,keyasint"` // must be ClassTable
}

// Update is one update message without its header (section 2).
type Update struct {
	Tables        []TableEntry `cbor:"1,keyasint"`
	Prerequisites []Record     `cbor:"2,keyasint,omitempty"`
	Changes       []Record     `cbor:"3,keyasint,omitempty"`
	Additional    []Record     `cbor:"4,keyasint,omitempty"`
	// Requestor is who asks; the permission step of section 3.3 judges it.
	Requestor string `cbor:"5,keyasint,omitempty"`
}

// ResponseCode is the outcome of an update (section 2.2).
type ResponseCode uint8

const (
	NoError  ResponseCode = 0
	FormErr  ResponseCode = 1
	ServFail ResponseCode = 2
	NXDomain ResponseCode = 3
	NotImp   ResponseCode = 4
	Refused  ResponseCode = 5
	YXDomain ResponseCode = 6
	YXRRSet  ResponseCode = 7
	NXRRSet  ResponseCode = 8
	NotAuth  ResponseCode = 9
	NotZone  ResponseCode = 10
)

// SOA is the typed data of the SOA record.
type SOA struct {
	Primary string `cbor:"1,keyasint"` // name of the primary
	Serial  uint32 `cbor:"2,keyasint"` // never zero (section 7.11)
	Refresh uint32 `cbor:"3,keyasint"` // seconds between a secondary's checks
	Expire  uint32 `cbor:"4,keyasint"` // seconds
}

// Kind declares one record type of the embedder.
type Kind struct {
	Type Type
	Name string // mnemonic for people, e.g. "ROUTE"
	// Singleton kinds hold one record a name: adding replaces (as SOA, CNAME in 1.1.5).
	Singleton bool
	// Key, if set, extracts the part compared on adding: an equal key replaces (as WKS in 1.1.5).
	Key func(data []byte) []byte
	// Check, if set, judges added data during the prescan (section 7.14); an error is FormErr.
	Check func(data []byte) error
}

// Schema is the set of kinds a table knows; others are unrecognized types (3.4.1.2).
type Schema struct {
	kinds map[Type]Kind
}

// Result is the outcome of applying one update.
type Result struct {
	Code ResponseCode
	// Serial is the table's serial afterwards.
	Serial uint32
	// Changed is false when nothing in the table differs.
	Changed bool
	// FailedIndex is the index of the record that decided an error, with its section; -1 if none.
	FailedIndex int
	Section     string // "table", "prerequisite", "permission", "change" or ""
	// Reason is the error behind Refused, ServFail or a FormErr about data; nil else.
	Reason error
}

// Transfer carries a table, or the difference between two serials, to a
// secondary (AXFR and IXFR in the source's references).
type Transfer struct {
	Full bool   `cbor:"1,keyasint,omitempty"`
	From uint32 `cbor:"2,keyasint,omitempty"`
	To   uint32 `cbor:"3,keyasint"`
	// Removed and Added are applied in this order. A full transfer has no Removed.
	Removed []Record `cbor:"4,keyasint,omitempty"`
	Added   []Record `cbor:"5,keyasint,omitempty"`
}
