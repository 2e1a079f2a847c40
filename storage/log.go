package storage

import (
	"math"

	bolt "go.etcd.io/bbolt"

	"github.com/deckpulley/deckpulley/consensus"
)

// logBounds holds the first and last index of the entries in the log bucket; both are
// zero for an empty log. Without this record a missing entry at either end of the log
// would not be detected.
type logBounds struct {
	First uint64 `cbor:"1,keyasint"`
	Last  uint64 `cbor:"2,keyasint"`
}

// appendEntries appends entries. It first deletes all existing entries from the first new
// index on, since they conflict with the new ones.
func appendEntries(tx *bolt.Tx, entries []consensus.Entry) error {
	log := tx.Bucket(logBucket)
	if err := truncateFrom(log, entries[0].Index); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := putRecord(log, indexKey(entry.Index), entry.Index, entry); err != nil {
			return err
		}
	}
	return saveLogBounds(tx)
}

// truncateFrom deletes all entries from the given index on.
func truncateFrom(log *bolt.Bucket, index uint64) error {
	return deleteRange(log, index, math.MaxUint64)
}

// compactBefore deletes all entries before the given index.
func compactBefore(log *bolt.Bucket, index uint64) error {
	return deleteRange(log, 0, index)
}

// deleteRange deletes the entries from first up to, but not including, end. It collects
// their indexes before it deletes them, because a cursor that seeks again after each
// deletion has to skip all pages that are already empty.
func deleteRange(log *bolt.Bucket, first, end uint64) error {
	var indexes []uint64
	cursor := log.Cursor()
	for key, _ := cursor.Seek(indexKey(first)); key != nil && keyIndex(key) < end; key, _ = cursor.Next() {
		indexes = append(indexes, keyIndex(key))
	}
	for _, index := range indexes {
		if err := log.Delete(indexKey(index)); err != nil {
			return err
		}
	}
	return nil
}

// saveLogBounds stores the first and last index of the log. It calls Last only if there is
// an entry: bbolt's Cursor.Last never returns for a log of several pages that was emptied
// in the same transaction.
func saveLogBounds(tx *bolt.Tx) error {
	cursor := tx.Bucket(logBucket).Cursor()
	var bounds logBounds
	if first, _ := cursor.First(); first != nil {
		last, _ := cursor.Last()
		bounds.First = keyIndex(first)
		bounds.Last = keyIndex(last)
	}
	return putRecord(tx.Bucket(stateBucket), logBoundsKey, singletonIndex, bounds)
}

// logMatches reports whether the log has the last entry that the snapshot includes. If it
// does not, the entries after the snapshot conflict with it.
func logMatches(log *bolt.Bucket, snapshot consensus.Snapshot) bool {
	record := log.Get(indexKey(snapshot.Index))
	var entry consensus.Entry
	if record == nil || decodeRecord(snapshot.Index, record, &entry) != nil {
		return false
	}
	return entry.Term == snapshot.Term
}
