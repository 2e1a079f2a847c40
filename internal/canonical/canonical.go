// Package canonical provides the CBOR modes for values that are compared or
// authenticated by their encoded bytes: records, updates and tickets. Equal values
// encode to equal bytes (core deterministic encoding, RFC 8949, section 4.2.1), and
// the decoder rejects constructs that the encoder never produces.
package canonical

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Bounds limits the size of a decoded value. A field that is 0 selects the
// library's default.
type Bounds struct {
	// NestingLevels is the maximum nesting depth of arrays and maps.
	NestingLevels int
	// ArrayElements is the maximum number of elements of one array, MapPairs the
	// maximum number of pairs of one map.
	ArrayElements int
	MapPairs      int
}

// Encoding returns the deterministic encoding mode.
func Encoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(fmt.Sprintf("canonical: encoding mode: %v", err))
	}
	return mode
}

// Decoding returns a decoding mode with the given bounds. It rejects duplicate keys, unknown fields,
// tags and indefinite lengths. It panics if the library rejects the bounds, which
// are constants of the calling package.
func Decoding(bounds Bounds) cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   bounds.NestingLevels,
		MaxArrayElements:  bounds.ArrayElements,
		MaxMapPairs:       bounds.MapPairs,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("canonical: decoding mode: %v", err))
	}
	return mode
}
