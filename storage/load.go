package storage

import (
	"fmt"

	bolt "go.etcd.io/bbolt"

	"github.com/deckpulley/deckpulley/consensus"
)

// Load implements Store.
func (d *Disk) Load() (State, error) {
	var loaded State
	if d.failed != nil {
		return loaded, d.failed
	}
	err := d.database.View(func(tx *bolt.Tx) error {
		return readAll(tx, &loaded)
	})
	if err != nil {
		return State{}, err
	}
	return loaded, verify(loaded)
}

func readAll(tx *bolt.Tx, loaded *State) error {
	var format int
	if err := get(tx, metaBucket, formatKey, &format, true); err != nil {
		return err
	}
	if format != formatVersion {
		return &CorruptError{Bucket: string(metaBucket), Reason: fmt.Sprintf("unknown format %d", format)}
	}
	if err := get(tx, metaBucket, identityKey, &loaded.Identity, true); err != nil {
		return err
	}
	if err := get(tx, metaBucket, clusterKey, &loaded.Cluster, false); err != nil {
		return err
	}
	if err := get(tx, stateBucket, hardStateKey, &loaded.HardState, false); err != nil {
		return err
	}
	if err := readSnapshot(tx, loaded); err != nil {
		return err
	}
	return readLog(tx, loaded)
}

// get decodes a record that exists only once. It leaves the value as it is if the
// record is missing and not required.
func get(tx *bolt.Tx, bucket, key []byte, value any, required bool) error {
	record := tx.Bucket(bucket).Get(key)
	if record == nil {
		if required {
			return &CorruptError{Bucket: string(bucket), Reason: string(key) + " is missing"}
		}
		return nil
	}
	if err := decodeRecord(singletonIndex, record, value); err != nil {
		return &CorruptError{Bucket: string(bucket), Reason: string(key) + ": " + err.Error()}
	}
	return nil
}

func readSnapshot(tx *bolt.Tx, loaded *State) error {
	record := tx.Bucket(snapshotBucket).Get(currentKey)
	if record == nil {
		return nil
	}
	snapshot, err := decodeSnapshot(record)
	if err != nil {
		return &CorruptError{Bucket: string(snapshotBucket), Index: snapshot.Index, Reason: err.Error()}
	}
	loaded.Snapshot = snapshot
	return nil
}

func readLog(tx *bolt.Tx, loaded *State) error {
	var bounds logBounds
	if err := get(tx, stateBucket, logBoundsKey, &bounds, false); err != nil {
		return err
	}
	next := bounds.First
	err := tx.Bucket(logBucket).ForEach(func(key, record []byte) error {
		if len(key) != indexSize {
			return &CorruptError{Bucket: string(logBucket), Reason: "key is not an index"}
		}
		if index := keyIndex(key); index != next {
			return missingEntry(next)
		}
		entry, err := decodeEntry(next, record)
		if err != nil {
			return err
		}
		loaded.Entries = append(loaded.Entries, entry)
		next++
		return nil
	})
	if err != nil {
		return err
	}
	if bounds.Last != 0 && next != bounds.Last+1 {
		return missingEntry(next)
	}
	return nil
}

func decodeEntry(index uint64, record []byte) (consensus.Entry, error) {
	var entry consensus.Entry
	if err := decodeRecord(index, record, &entry); err != nil {
		return consensus.Entry{}, &CorruptError{Bucket: string(logBucket), Index: index, Reason: err.Error()}
	}
	if entry.Index != index {
		return consensus.Entry{}, &CorruptError{Bucket: string(logBucket), Index: index, Reason: "entry is of another index"}
	}
	return entry, nil
}

func missingEntry(index uint64) error {
	return &CorruptError{Bucket: string(logBucket), Index: index, Reason: "entry is missing"}
}

// verify checks the records against each other: terms never fall, the log follows
// the snapshot without a gap, and every committed entry is there.
func verify(loaded State) error {
	previousTerm := uint64(0)
	last := loaded.Snapshot.Index
	for _, entry := range loaded.Entries {
		if entry.Term < previousTerm {
			return &CorruptError{Bucket: string(logBucket), Index: entry.Index, Reason: "term falls"}
		}
		previousTerm = entry.Term
	}
	if count := len(loaded.Entries); count > 0 {
		if first := loaded.Entries[0].Index; first > last+1 {
			return &CorruptError{Bucket: string(logBucket), Index: last + 1, Reason: "gap between snapshot and log"}
		}
		last = max(last, loaded.Entries[count-1].Index)
	}
	if loaded.HardState.Commit > last {
		return &CorruptError{Bucket: string(logBucket), Index: last + 1, Reason: "committed entry is missing"}
	}
	return nil
}
