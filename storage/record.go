package storage

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/deckpulley/deckpulley/consensus"
)

// A record consists of a checksum of position and payload, as 8 big-endian bytes, and the
// payload in CBOR. The position is the index of a log entry or snapshot, or singletonIndex
// for other records. Since the checksum covers the position, a record stored under the
// wrong key is detected as corrupt.

const (
	checksumSize = 8
	indexSize    = 8
	// singletonIndex is the position of singleton records: those that exist once in a
	// store and have no index.
	singletonIndex = 0
)

var (
	errRecordTooShort   = errors.New("record is shorter than its checksum")
	errChecksumMismatch = errors.New("checksum does not match")
)

// encodeRecord returns the record of a value at the given position.
func encodeRecord(position uint64, value any) ([]byte, error) {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return nil, err
	}
	record := make([]byte, checksumSize, checksumSize+len(payload))
	binary.BigEndian.PutUint64(record, checksum(position, payload))
	return append(record, payload...), nil
}

// decodeRecord verifies the checksum of a record at the given position and decodes its
// payload.
func decodeRecord(position uint64, record []byte, value any) error {
	if len(record) < checksumSize {
		return errRecordTooShort
	}
	payload := record[checksumSize:]
	if binary.BigEndian.Uint64(record) != checksum(position, payload) {
		return errChecksumMismatch
	}
	return cbor.Unmarshal(payload, value)
}

// decodeSnapshot decodes the record of a snapshot. Its position is the index of the
// snapshot, so the payload must be decoded before the checksum can be verified.
func decodeSnapshot(record []byte) (consensus.Snapshot, error) {
	var snapshot consensus.Snapshot
	if len(record) < checksumSize {
		return snapshot, errRecordTooShort
	}
	if err := cbor.Unmarshal(record[checksumSize:], &snapshot); err != nil {
		return consensus.Snapshot{}, err
	}
	return snapshot, decodeRecord(snapshot.Index, record, &snapshot)
}

func checksum(position uint64, payload []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(indexKey(position))
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

// indexKey returns the key of the log entry with the given index. Keys sort in the order
// of their indexes.
func indexKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}

// keyIndex returns the index of the log entry with the given key.
func keyIndex(key []byte) uint64 {
	return binary.BigEndian.Uint64(key)
}
