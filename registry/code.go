package registry

import "fmt"

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

// String returns the mnemonic of section 2.2.
func (c ResponseCode) String() string {
	if int(c) < len(responseNames) {
		return responseNames[c]
	}
	return fmt.Sprintf("RCODE%d", uint8(c))
}

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
