package storage

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"time"

	bolt "go.etcd.io/bbolt"

	"github.com/deckpulley/deckpulley/consensus"
)

const (
	fileName = "consensus.db"
	// unfinishedSuffix is on the name of a store that is being made.
	unfinishedSuffix = ".new"
	fileMode         = 0o600
	folderMode       = 0o700
	lockTimeout      = 5 * time.Second
	identityBytes    = 16
	formatVersion    = 1
	singletonIndex   = 0
)

var (
	metaBucket     = []byte("meta")
	stateBucket    = []byte("state")
	logBucket      = []byte("log")
	snapshotBucket = []byte("snapshot")

	formatKey   = []byte("format")
	identityKey = []byte("identity")
	clusterKey  = []byte("cluster")
	hardKey     = []byte("hard")
	boundsKey   = []byte("bounds")
	currentKey  = []byte("current")
)

// bounds are the first and last index that the log bucket must hold; both are
// zero for an empty log. They show an entry that is missing at an end.
type bounds struct {
	First uint64 `cbor:"1,keyasint"`
	Last  uint64 `cbor:"2,keyasint"`
}

// Disk is a Store in one file under a folder. Each write is one transaction
// that is synced before the method returns. A write that a power cut tore is
// undone as a whole at the next Open.
type Disk struct {
	database *bolt.DB
	failed   *FinalError
}

var _ Store = (*Disk)(nil)

// Open opens the folder's store, and makes the folder, the store and its random
// identity at the first start.
func Open(folder string) (*Disk, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fmt.Errorf("storage: make folder: %w", err)
	}
	path := filepath.Join(folder, fileName)
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		if err := create(folder, path); err != nil {
			return nil, err
		}
	}
	return openFile(path)
}

// create makes a whole store under another name and renames it: a loss of power
// on the way leaves nothing that looks like a store.
func create(folder, path string) error {
	unfinished := path + unfinishedSuffix
	if err := os.Remove(unfinished); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("storage: remove %s: %w", unfinished, err)
	}
	disk, err := openFile(unfinished)
	if err != nil {
		return err
	}
	if err := errors.Join(disk.prepare(), disk.Close()); err != nil {
		return err
	}
	if err := os.Rename(unfinished, path); err != nil {
		return fmt.Errorf("storage: rename %s: %w", unfinished, err)
	}
	return syncFolder(folder)
}

func openFile(path string) (*Disk, error) {
	database, err := bolt.Open(path, fileMode, &bolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, fmt.Errorf("storage: open %s: %w", path, err)
	}
	return &Disk{database: database}, nil
}

// prepare makes what a new store needs in one transaction.
func (d *Disk) prepare() error {
	return d.write("prepare", func(tx *bolt.Tx) error {
		for _, name := range [][]byte{metaBucket, stateBucket, logBucket, snapshotBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		meta := tx.Bucket(metaBucket)
		if meta.Get(identityKey) != nil {
			return nil
		}
		if err := put(meta, formatKey, singletonIndex, formatVersion); err != nil {
			return err
		}
		identity, err := newIdentity()
		if err != nil {
			return err
		}
		return put(meta, identityKey, singletonIndex, identity)
	})
}

func newIdentity() (consensus.ID, error) {
	random := make([]byte, identityBytes)
	if _, err := rand.Read(random); err != nil {
		return consensus.None, err
	}
	return consensus.ID(hex.EncodeToString(random)), nil
}

func syncFolder(folder string) error {
	handle, err := os.Open(folder)
	if err != nil {
		return fmt.Errorf("storage: open folder: %w", err)
	}
	return errors.Join(handle.Sync(), handle.Close())
}

// write runs one synced transaction. The first failure is final.
func (d *Disk) write(operation string, change func(*bolt.Tx) error) error {
	if d.failed != nil {
		return d.failed
	}
	if err := d.database.Update(change); err != nil {
		d.failed = &FinalError{Operation: operation, Err: err}
		return d.failed
	}
	return nil
}

func put(bucket *bolt.Bucket, key []byte, position uint64, value any) error {
	record, err := encodeRecord(position, value)
	if err != nil {
		return err
	}
	return bucket.Put(key, record)
}

// SetCluster implements Store.
func (d *Disk) SetCluster(cluster string) error {
	return d.write("set cluster", func(tx *bolt.Tx) error {
		return put(tx.Bucket(metaBucket), clusterKey, singletonIndex, cluster)
	})
}

// Save implements Store.
func (d *Disk) Save(state *consensus.HardState, entries []consensus.Entry) error {
	if state == nil && len(entries) == 0 {
		return nil
	}
	return d.write("save", func(tx *bolt.Tx) error {
		if state != nil {
			if err := put(tx.Bucket(stateBucket), hardKey, singletonIndex, *state); err != nil {
				return err
			}
		}
		if len(entries) == 0 {
			return nil
		}
		return appendEntries(tx, entries)
	})
}

// appendEntries drops what the new entries overwrite, and adds them.
func appendEntries(tx *bolt.Tx, entries []consensus.Entry) error {
	log := tx.Bucket(logBucket)
	first := entries[0].Index
	if err := deleteFrom(log, first); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := put(log, indexKey(entry.Index), entry.Index, entry); err != nil {
			return err
		}
	}
	return saveBounds(tx)
}

func deleteFrom(log *bolt.Bucket, index uint64) error {
	return deleteRange(log, index, math.MaxUint64)
}

func deleteBefore(log *bolt.Bucket, index uint64) error {
	return deleteRange(log, 0, index)
}

// deleteRange deletes the entries from first up to before end. It notes them
// first: a cursor that is placed anew after each deletion passes over all the
// pages that are empty by then.
func deleteRange(log *bolt.Bucket, first, end uint64) error {
	var doomed []uint64
	cursor := log.Cursor()
	for key, _ := cursor.Seek(indexKey(first)); key != nil && keyIndex(key) < end; key, _ = cursor.Next() {
		doomed = append(doomed, keyIndex(key))
	}
	for _, index := range doomed {
		if err := log.Delete(indexKey(index)); err != nil {
			return err
		}
	}
	return nil
}

// saveBounds records the first and last index of the log. Last is asked only of
// a log that holds something: on one of several pages that was emptied in the
// same transaction, the library's cursor never returns from it.
func saveBounds(tx *bolt.Tx) error {
	cursor := tx.Bucket(logBucket).Cursor()
	var held bounds
	if first, _ := cursor.First(); first != nil {
		last, _ := cursor.Last()
		held.First = keyIndex(first)
		held.Last = keyIndex(last)
	}
	return put(tx.Bucket(stateBucket), boundsKey, singletonIndex, held)
}

// SaveSnapshot implements Store. A log that holds another entry at the
// snapshot's index leads somewhere else and is dropped whole.
func (d *Disk) SaveSnapshot(snapshot consensus.Snapshot, keepFrom uint64) error {
	return d.write("save snapshot", func(tx *bolt.Tx) error {
		record, err := encodeRecord(snapshot.Index, snapshot)
		if err != nil {
			return err
		}
		if err := tx.Bucket(snapshotBucket).Put(currentKey, record); err != nil {
			return err
		}
		log := tx.Bucket(logBucket)
		if !leadsThrough(log, snapshot) {
			keepFrom = 0
			if err := deleteFrom(log, 0); err != nil {
				return err
			}
		}
		if err := deleteBefore(log, keepFrom); err != nil {
			return err
		}
		return saveBounds(tx)
	})
}

func leadsThrough(log *bolt.Bucket, snapshot consensus.Snapshot) bool {
	record := log.Get(indexKey(snapshot.Index))
	var entry consensus.Entry
	if record == nil || decodeRecord(snapshot.Index, record, &entry) != nil {
		return false
	}
	return entry.Term == snapshot.Term
}

// Close implements Store.
func (d *Disk) Close() error {
	return d.database.Close()
}
