package storage

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/deckpulley/deckpulley/consensus"
)

// A record is the checksum of (position, payload), 8 bytes big-endian, then the
// payload in CBOR. The position is a log index, or zero for the records of which
// there is one only; it makes a record at the wrong place corrupt too.

const checksumSize = 8

var errShort = errors.New("record is shorter than its checksum")

var errChecksum = errors.New("checksum does not match")

func encodeRecord(position uint64, value any) ([]byte, error) {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return nil, err
	}
	record := make([]byte, checksumSize, checksumSize+len(payload))
	binary.BigEndian.PutUint64(record, checksum(position, payload))
	return append(record, payload...), nil
}

func decodeRecord(position uint64, record []byte, value any) error {
	if len(record) < checksumSize {
		return errShort
	}
	payload := record[checksumSize:]
	if binary.BigEndian.Uint64(record) != checksum(position, payload) {
		return errChecksum
	}
	return cbor.Unmarshal(payload, value)
}

func checksum(position uint64, payload []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(indexKey(position))
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

func indexKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}

// decodeSnapshot reads a snapshot, whose record's position is its own index.
func decodeSnapshot(record []byte) (consensus.Snapshot, error) {
	var snapshot consensus.Snapshot
	if len(record) < checksumSize {
		return snapshot, errShort
	}
	if err := cbor.Unmarshal(record[checksumSize:], &snapshot); err != nil {
		return consensus.Snapshot{}, err
	}
	return snapshot, decodeRecord(snapshot.Index, record, &snapshot)
}
