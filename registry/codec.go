package registry

import (
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/deckpulley/deckpulley/internal/canonical"
)

// ErrMalformed is wrapped by errors about input that cannot be decoded, or a value that
// would not decode again.
var ErrMalformed = errors.New("registry: malformed encoding")

var (
	encoding = canonical.Encoding()
	decoding = canonical.Decoding(canonical.Bounds{
		NestingLevels: maxNestingLevels,
		ArrayElements: MaxTableRecords,
		MapPairs:      maxMapPairs,
	})
)

// encode encodes a value of a type whose encoding cannot fail.
func encode(value any) []byte {
	data, err := encoding.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("registry: encoding %T: %v", value, err))
	}
	return data
}

// encodeWithin encodes a value and returns a *LimitError if the result has more than
// limit octets.
func encodeWithin(limit int, what string, value any) ([]byte, error) {
	data := encode(value)
	if err := checkEncodedSize(data, what, limit); err != nil {
		return nil, err
	}
	return data, nil
}

// decode decodes data, which must be exactly one value of at most limit octets. what
// names the value in errors.
func decode(data []byte, limit int, what string, value any) error {
	if err := checkEncodedSize(data, what, limit); err != nil {
		return err
	}
	if err := decoding.Unmarshal(data, value); err != nil {
		return fmt.Errorf("%w of %s: %w", ErrMalformed, what, err)
	}
	return nil
}

func encodeSOA(soa SOA) []byte { return encode(soa) }

func decodeSOA(data []byte) (SOA, error) {
	var soa SOA
	err := decode(data, MaxDataBytes, "SOA record", &soa)
	return soa, err
}

// EncodeUpdate returns the encoding of an update, which DecodeUpdate accepts.
// Equal updates have equal encodings.
func EncodeUpdate(update *Update) ([]byte, error) {
	if err := update.checkLimits(); err != nil {
		return nil, err
	}
	if err := update.checkUTF8(); err != nil {
		return nil, err
	}
	return encodeWithin(MaxUpdateBytes, "update", update)
}

// DecodeUpdate decodes an update and enforces the limits of this package. It checks
// only the form of the update; Table.Apply checks its content.
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

// checkUTF8 requires every text to be valid UTF-8, since decoding rejects other texts.
func (u *Update) checkUTF8() error {
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

// EncodeTransfer returns the encoding of a transfer.
func EncodeTransfer(transfer Transfer) ([]byte, error) {
	return encodeWithin(MaxTransferBytes, "transfer", transfer)
}

// DecodeTransfer decodes a transfer. Table.ApplyTransfer checks its content.
func DecodeTransfer(data []byte) (Transfer, error) {
	var transfer Transfer
	if err := decode(data, MaxTransferBytes, "transfer", &transfer); err != nil {
		return Transfer{}, err
	}
	return transfer, nil
}
