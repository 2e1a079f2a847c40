package statemachine

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Snapshot is the content of a snapshot of the replicated log: the complete state.
type Snapshot struct {
	// Cluster is the id of the group. It prevents a node from restoring a snapshot of
	// another group.
	Cluster string `cbor:"1,keyasint"`
	// Table is the encoded table of the registry.
	Table []byte `cbor:"2,keyasint"`
	// Operations are the retained operations, oldest first.
	Operations []OperationEntry `cbor:"3,keyasint,omitempty"`
	// Voters is the number of voters of a complete group.
	Voters int `cbor:"4,keyasint"`
}

// Encode encodes the content of a snapshot.
func Encode(snapshot Snapshot) ([]byte, error) {
	data, err := cbor.Marshal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("control: encoding a snapshot: %w", err)
	}
	return data, nil
}

// Decode decodes the content of a snapshot. Restore decodes the table in it.
func Decode(data []byte) (Snapshot, error) {
	var snapshot Snapshot
	if err := cbor.Unmarshal(data, &snapshot); err != nil {
		return Snapshot{}, fmt.Errorf("control: decoding a snapshot: %w", err)
	}
	if snapshot.Cluster == "" {
		return Snapshot{}, errors.New("control: decoding a snapshot: it has no group id")
	}
	return snapshot, nil
}
