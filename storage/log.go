package storage

import (
	"math"

	bolt "go.etcd.io/bbolt"

	"github.com/deckpulley/deckpulley/consensus"
)

// logBounds are the first and last index of the entries in the log bucket; both are
// zero for an empty log. Without them a lost entry at either end of the log would
// not be noticed.
type logBounds struct {
	First uint64 `cbor:"1,keyasint"`
	Last  uint64 `cbor:"2,keyasint"`
}

// appendEntries adds entries. The existing ones from the first new index on are
// deleted before: they conflict.
func appendEntries(tx *bolt.Tx, entries []consensus.Entry) error {
	log := tx.Bucket(logBucket)
	if err := truncateFrom(log, entries[0].Index); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := put(log, indexKey(entry.Index), entry.Index, entry); err != nil {
			return err
		}
	}
	return saveLogBounds(tx)
}

// truncateFrom deletes the entries from an index on.
func truncateFrom(log *bolt.Bucket, index uint64) error {
	return deleteRange(log, index, math.MaxUint64)
}

// compactBefore deletes the entries before an index.
func compactBefore(log *bolt.Bucket, index uint64) error {
	return deleteRange(log, 0, index)
}

// deleteRange deletes the entries from first up to and without end. It collects
// their indexes first: a cursor that seeks anew after each deletion passes over all
// the pages that are empty by then.
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

// saveLogBounds records the first and last index of the log. It calls Last only if
// there is an entry: for a log of several pages that was emptied in the same
// transaction, the library's cursor never returns from it.
func saveLogBounds(tx *bolt.Tx) error {
	cursor := tx.Bucket(logBucket).Cursor()
	var bounds logBounds
	if first, _ := cursor.First(); first != nil {
		last, _ := cursor.Last()
		bounds.First = keyIndex(first)
		bounds.Last = keyIndex(last)
	}
	return put(tx.Bucket(stateBucket), logBoundsKey, singletonIndex, bounds)
}

// logMatches reports whether the log has the entry that the snapshot ends with. If
// it has not, the entries that follow belong to another history.
func logMatches(log *bolt.Bucket, snapshot consensus.Snapshot) bool {
	record := log.Get(indexKey(snapshot.Index))
	var entry consensus.Entry
	if record == nil || decodeRecord(snapshot.Index, record, &entry) != nil {
		return false
	}
	return entry.Term == snapshot.Term
}
