package simulation

import (
	"encoding/binary"
	"hash/fnv"
)

// operation replaces or changes the single versioned value of the state machine. It is
// accepted only if it is based on the current version.
type operation struct {
	ID   string
	Base uint64 // version that the operation is based on
	// Change is set if the new value depends on the old one.
	Change bool
}

// contentAfter returns the value after the operation: a hash of the operation alone, or
// of all operations since the last one that replaced the value.
func (o *operation) contentAfter(content uint64) uint64 {
	hash := fnv.New64a()
	if o.Change {
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, content))
	}
	_, _ = hash.Write([]byte(o.ID))
	return hash.Sum64()
}

// answer is the answer to an operation. Each operation has exactly one answer, which is
// stored in the table.
type answer struct {
	Accepted bool   `cbor:"1,keyasint"`
	Version  uint64 `cbor:"2,keyasint"` // after an accepted operation, or at the time of its refusal
	// Content is the value after an accepted operation.
	Content uint64 `cbor:"3,keyasint,omitempty"`
}
