package registry

import (
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/deckpulley/deckpulley/internal/canonical"
)

// Bounds of what is decoded and applied. An update or transfer beyond one is
// answered with a *LimitError before anything is allocated for its content.
const (
	MaxUpdateBytes       = 16 << 20 // octets of an encoded update
	MaxTransferBytes     = 256 << 20
	MaxPrerequisites     = 4096
	MaxChanges           = 1 << 17
	MaxAdditional        = 64
	MaxDataBytes         = 64 << 10 // octets of one record's data, the limit of DNS
	MaxRequestorBytes    = 255
	MaxTableRecords      = 1 << 20 // records in one table
	maxTables            = 16
	maxNestingLevels     = 8
	maxFieldsOfOneRecord = 16
)

// ErrMalformed is wrapped by the errors of decoding.
var ErrMalformed = errors.New("registry: malformed encoding")

// LimitError says which bound an input passed.
type LimitError struct {
	What  string
	Got   int
	Limit int
}

// Error names the bound.
func (e *LimitError) Error() string {
	return fmt.Sprintf("registry: %s: %d, at most %d", e.What, e.Got, e.Limit)
}

var (
	encoding = canonical.Encoding()
	decoding = canonical.Decoding(canonical.Bounds{
		NestingLevels: maxNestingLevels,
		ArrayElements: MaxTableRecords,
		MapPairs:      maxFieldsOfOneRecord,
	})
)

// encode is for values that cannot fail to encode.
func encode(value any) []byte {
	data, err := encoding.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("registry: encoding %T: %v", value, err))
	}
	return data
}

// decode reads exactly one value of at most limit octets.
func decode(data []byte, limit int, what string, value any) error {
	if len(data) > limit {
		return &LimitError{What: "octets of " + what, Got: len(data), Limit: limit}
	}
	if err := decoding.Unmarshal(data, value); err != nil {
		return fmt.Errorf("%w of %s: %w", ErrMalformed, what, err)
	}
	return nil
}

func encodeHead(head SOA) []byte { return encode(head) }

func decodeHead(data []byte) (SOA, error) {
	var head SOA
	err := decode(data, MaxDataBytes, "head record", &head)
	return head, err
}

// EncodeUpdate returns the encoding of an update, which DecodeUpdate accepts.
// Equal updates encode equally.
func EncodeUpdate(update *Update) ([]byte, error) {
	if err := update.checkLimits(); err != nil {
		return nil, err
	}
	if err := update.checkTexts(); err != nil {
		return nil, err
	}
	data := encode(update)
	if len(data) > MaxUpdateBytes {
		return nil, &LimitError{What: "octets of update", Got: len(data), Limit: MaxUpdateBytes}
	}
	return data, nil
}

// DecodeUpdate reads an encoded update, within the bounds of this package. It
// checks form only: what the update asks for is judged by Table.Apply.
func DecodeUpdate(data []byte) (Update, error) {
	var update Update
	if err := decode(data, MaxUpdateBytes, "update", &update); err != nil {
		return Update{}, err
	}
	if err := update.checkLimits(); err != nil {
		return Update{}, err
	}
	return update, nil
}

// checkLimits enforces the bounds on counts and sizes.
func (u *Update) checkLimits() error {
	bounds := []LimitError{
		{What: "tables", Got: len(u.Tables), Limit: maxTables},
		{What: "prerequisites", Got: len(u.Prerequisites), Limit: MaxPrerequisites},
		{What: "changes", Got: len(u.Changes), Limit: MaxChanges},
		{What: "additional records", Got: len(u.Additional), Limit: MaxAdditional},
		{What: "octets of requestor", Got: len(u.Requestor), Limit: MaxRequestorBytes},
	}
	for i := range bounds {
		if bounds[i].Got > bounds[i].Limit {
			return &bounds[i]
		}
	}
	for _, section := range [][]Record{u.Prerequisites, u.Changes, u.Additional} {
		if err := checkRecordLimits(section); err != nil {
			return err
		}
	}
	return nil
}

// checkTexts requires the texts to be UTF-8, since decoding accepts no other.
func (u *Update) checkTexts() error {
	texts := []string{u.Requestor}
	for _, entry := range u.Tables {
		texts = append(texts, string(entry.Name))
	}
	for _, section := range [][]Record{u.Prerequisites, u.Changes, u.Additional} {
		for i := range section {
			texts = append(texts, string(section[i].Name))
		}
	}
	for _, text := range texts {
		if !utf8.ValidString(text) {
			return fmt.Errorf("%w: %q is not UTF-8", ErrMalformed, text)
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

// EncodeTransfer returns the encoding of a transfer.
func EncodeTransfer(transfer Transfer) ([]byte, error) {
	data := encode(transfer)
	if len(data) > MaxTransferBytes {
		return nil, &LimitError{What: "octets of transfer", Got: len(data), Limit: MaxTransferBytes}
	}
	return data, nil
}

// DecodeTransfer reads an encoded transfer. ApplyTransfer judges its content.
func DecodeTransfer(data []byte) (Transfer, error) {
	var transfer Transfer
	if err := decode(data, MaxTransferBytes, "transfer", &transfer); err != nil {
		return Transfer{}, err
	}
	return transfer, nil
}
