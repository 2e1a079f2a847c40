package statemachine

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Snapshot is the data of a snapshot of the replicated log: the complete state.
type Snapshot struct {
	// Cluster is the id of the group, so that no other group's snapshot is restored.
	Cluster string `cbor:"1,keyasint"`
	// Table is the registry's table in its encoding.
	Table []byte `cbor:"2,keyasint"`
	// Operations are the kept operations, oldest first.
	Operations []OperationEntry `cbor:"3,keyasint,omitempty"`
	// Voters is the number of voters of a complete group.
	Voters int `cbor:"4,keyasint"`
}

// Encode encodes a snapshot's data.
func Encode(snapshot Snapshot) ([]byte, error) {
	data, err := cbor.Marshal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("control: encoding a snapshot: %w", err)
	}
	return data, nil
}

// Decode decodes a snapshot's data. The table is decoded by Restore.
func Decode(data []byte) (Snapshot, error) {
	var snapshot Snapshot
	if err := cbor.Unmarshal(data, &snapshot); err != nil {
		return Snapshot{}, fmt.Errorf("control: decoding a snapshot: %w", err)
	}
	if snapshot.Cluster == "" {
		return Snapshot{}, errors.New("control: decoding a snapshot: it names no group")
	}
	return snapshot, nil
}
