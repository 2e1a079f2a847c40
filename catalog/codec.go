package catalog

import (
	"fmt"

	"github.com/deckpulley/deckpulley/internal/canonical"
	"github.com/deckpulley/deckpulley/registry"
)

// The data of a record is canonical CBOR, so that equal objects have equal records
// and an update can identify the record that it replaces by its data.
var (
	encoding = canonical.Encoding()
	decoding = canonical.Decoding(canonical.Bounds{})
)

// encode returns the data of a value. It panics if the type cannot be encoded in CBOR,
// which is true of no type of this package.
func encode(value any) []byte {
	data, err := encoding.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("catalog: encoding %T: %v", value, err))
	}
	return data
}

func decode(data []byte, value any) error {
	if err := decoding.Unmarshal(data, value); err != nil {
		return fmt.Errorf("catalog: decoding %T: %w", value, err)
	}
	return nil
}

// decodeRecord returns the data of a record as a T.
func decodeRecord[T any](record registry.Record) (T, error) {
	var value T
	if err := decode(record.Data, &value); err != nil {
		return value, fmt.Errorf("record at %s: %w", record.Name, err)
	}
	return value, nil
}

// decodeInto replaces a value by that of a record. Fields that the record omits are
// zero afterwards, whatever they were before.
func decodeInto[T any](record registry.Record, value *T) error {
	decoded, err := decodeRecord[T](record)
	if err != nil {
		return err
	}
	*value = decoded
	return nil
}

// checkEncoding returns an error unless data decodes as a T.
func checkEncoding[T any](data []byte) error {
	var value T
	return decode(data, &value)
}
