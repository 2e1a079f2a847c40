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
	return loaded, checkConsistency(loaded)
}

// readAll reads all records and verifies the checksum of each.
func readAll(tx *bolt.Tx, loaded *State) error {
	var format int
	if err := getRecord(tx, metaBucket, formatKey, &format, true); err != nil {
		return err
	}
	if format != formatVersion {
		return &CorruptError{Bucket: string(metaBucket), Reason: fmt.Sprintf("unknown format %d", format)}
	}
	if err := getRecord(tx, metaBucket, identityKey, &loaded.Identity, true); err != nil {
		return err
	}
	if err := getRecord(tx, metaBucket, clusterKey, &loaded.Cluster, false); err != nil {
		return err
	}
	if err := getRecord(tx, metaBucket, initialKey, &loaded.InitialControl, false); err != nil {
		return err
	}
	if err := getRecord(tx, stateBucket, hardStateKey, &loaded.HardState, false); err != nil {
		return err
	}
	if err := readSnapshot(tx, loaded); err != nil {
		return err
	}
	return readLog(tx, loaded)
}

// getRecord decodes a singleton record into value. It does not change value if the record
// is missing and not required.
func getRecord(tx *bolt.Tx, bucket, key []byte, value any, required bool) error {
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
	if err := getRecord(tx, stateBucket, logBoundsKey, &bounds, false); err != nil {
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
		return consensus.Entry{}, &CorruptError{Bucket: string(logBucket), Index: index, Reason: "index of the entry differs from its key"}
	}
	return entry, nil
}

func missingEntry(index uint64) error {
	return &CorruptError{Bucket: string(logBucket), Index: index, Reason: "entry is missing"}
}

// checkConsistency checks that the records are consistent: terms never decrease, there is
// no gap between the snapshot and the log, and every committed entry is present.
func checkConsistency(loaded State) error {
	previousTerm := uint64(0)
	last := loaded.Snapshot.Index
	for _, entry := range loaded.Entries {
		if entry.Term < previousTerm {
			return &CorruptError{Bucket: string(logBucket), Index: entry.Index, Reason: "term is lower than that of the previous entry"}
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
