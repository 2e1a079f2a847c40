// Package canonical has the CBOR modes of what is compared or authenticated by
// its bytes: records, updates and tickets. Equal values encode equally (RFC 8949,
// section 4.2.1), and what no such encoder writes is not decoded.
package canonical

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Bounds limit what is decoded; zero is the library's default of each.
type Bounds struct {
	// NestingLevels is the number of arrays and maps within each other.
	NestingLevels int
	// ArrayElements and MapPairs are the sizes of one array and of one map.
	ArrayElements int
	MapPairs      int
}

// Encoding returns the deterministic encoder.
func Encoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(fmt.Sprintf("canonical: encoding mode: %v", err))
	}
	return mode
}

// Decoding returns a decoder that refuses doubled and unknown fields, tags and
// indefinite lengths. It panics on bounds that the library does not accept.
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
