package storage

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/deckpulley/deckpulley/consensus"
)

// A record is the checksum of (position, payload), 8 bytes big-endian, then the
// payload in CBOR. The position is a log index, or singletonIndex for a record that
// exists only once. It makes a record under the wrong key corrupt too.

const (
	checksumSize = 8
	indexSize    = 8
	// singletonIndex is the position of the records that exist only once.
	singletonIndex = 0
)

var (
	errRecordTooShort   = errors.New("record is shorter than its checksum")
	errChecksumMismatch = errors.New("checksum does not match")
)

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
		return errRecordTooShort
	}
	payload := record[checksumSize:]
	if binary.BigEndian.Uint64(record) != checksum(position, payload) {
		return errChecksumMismatch
	}
	return cbor.Unmarshal(payload, value)
}

// decodeSnapshot decodes a snapshot, whose position is its own index: the payload
// must be decoded before its checksum can be verified.
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

// indexKey returns the key of a log entry. Keys sort as their indexes do.
func indexKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}

func keyIndex(key []byte) uint64 {
	return binary.BigEndian.Uint64(key)
}
