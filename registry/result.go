package registry

import "fmt"

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

var responseNames = [...]string{
	NoError:  "NOERROR",
	FormErr:  "FORMERR",
	ServFail: "SERVFAIL",
	NXDomain: "NXDOMAIN",
	NotImp:   "NOTIMP",
	Refused:  "REFUSED",
	YXDomain: "YXDOMAIN",
	YXRRSet:  "YXRRSET",
	NXRRSet:  "NXRRSET",
	NotAuth:  "NOTAUTH",
	NotZone:  "NOTZONE",
}

// String returns the mnemonic from section 2.2.
func (c ResponseCode) String() string {
	if int(c) < len(responseNames) {
		return responseNames[c]
	}
	return fmt.Sprintf("RCODE%d", uint8(c))
}

// Sections of an update, as in Result.Section.
const (
	SectionTable        = "table"
	SectionPrerequisite = "prerequisite"
	SectionPermission   = "permission"
	SectionChange       = "change"
)

// noFailedRecord is the FailedIndex of a result that was not caused by a single record.
const noFailedRecord = -1

// Result is the outcome of applying one update.
type Result struct {
	Code ResponseCode
	// Serial is the table's serial after the update.
	Serial uint32
	// Changed is false if the update left every record as it was.
	Changed bool
	// FailedIndex is the index within Section of the record that caused the error, or
	// -1 if no single record did.
	FailedIndex int
	Section     string // one of the Section constants, "" after success
	// Reason is the cause of Refused, ServFail, or a FormErr about a limit, a name or
	// data; nil otherwise.
	Reason error
}
