package registry

import "fmt"

// Limits of updates, transfers and tables. An update or transfer that exceeds one is
// rejected with a *LimitError. Encoded sizes are checked before decoding, counts after.
const (
	MaxUpdateBytes    = 16 << 20 // octets of an encoded update
	MaxTransferBytes  = 256 << 20
	MaxPrerequisites  = 4096
	MaxChanges        = 1 << 17
	MaxAdditional     = 64
	MaxDataBytes      = 64 << 10 // octets of one record's data, as in DNS
	MaxRequestorBytes = 255
	MaxTableRecords   = 1 << 20 // records in one table
	maxTableEntries   = 16      // entries in an update's table section
	maxNestingLevels  = 8
	maxMapPairs       = 16 // fields of one encoded struct
)

// LimitError reports an input that exceeds a limit.
type LimitError struct {
	What  string // the quantity that exceeds the limit
	Got   int
	Limit int
}

// Error names the quantity, its value and the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("registry: limit exceeded: %s: %d, at most %d", e.What, e.Got, e.Limit)
}

// checkLimits enforces the limits on counts and sizes.
func (u *Update) checkLimits() error {
	counts := []LimitError{
		{What: "tables", Got: len(u.Tables), Limit: maxTableEntries},
		{What: "prerequisites", Got: len(u.Prerequisites), Limit: MaxPrerequisites},
		{What: "changes", Got: len(u.Changes), Limit: MaxChanges},
		{What: "additional records", Got: len(u.Additional), Limit: MaxAdditional},
		{What: "octets of requestor", Got: len(u.Requestor), Limit: MaxRequestorBytes},
	}
	for i := range counts {
		if counts[i].Got > counts[i].Limit {
			return &counts[i]
		}
	}
	for _, section := range [][]Record{u.Prerequisites, u.Changes, u.Additional} {
		if err := checkRecordLimits(section); err != nil {
			return err
		}
	}
	return nil
}

func checkRecordLimits(records []Record) error {
	for i := range records {
		if size := len(records[i].Data); size > MaxDataBytes {
			return &LimitError{What: "octets of record data", Got: size, Limit: MaxDataBytes}
		}
	}
	return nil
}

// checkEncodedSize enforces the limit of octets of one encoded value.
func checkEncodedSize(data []byte, what string, limit int) error {
	if len(data) > limit {
		return &LimitError{What: "octets of " + what, Got: len(data), Limit: limit}
	}
	return nil
}
