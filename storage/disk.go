package storage

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	bolt "go.etcd.io/bbolt"

	"github.com/deckpulley/deckpulley/consensus"
)

const (
	fileName = "consensus.db"
	// unfinishedSuffix is appended to the name of a file that is being created.
	unfinishedSuffix = ".new"
	fileMode         = 0o600
	folderMode       = 0o700
	lockTimeout      = 5 * time.Second // how long to wait for another process to close the file
	identityBytes    = 16
	// growthBytes is the step by which the file grows. bbolt's own, 16 MiB, is a large part
	// of a small disk.
	growthBytes   = 1 << 20
	formatVersion = 1
)

// The buckets of the file and the keys of the singleton records. The log bucket has one
// key for each entry, see indexKey.
var (
	metaBucket     = []byte("meta")
	stateBucket    = []byte("state")
	logBucket      = []byte("log")
	snapshotBucket = []byte("snapshot")

	formatKey    = []byte("format")   // in meta
	identityKey  = []byte("identity") // in meta
	clusterKey   = []byte("cluster")  // in meta
	initialKey   = []byte("initial")  // in meta
	hardStateKey = []byte("hard")     // in state
	logBoundsKey = []byte("bounds")   // in state
	currentKey   = []byte("current")  // in snapshot
)

// Disk is a Store in one bbolt file. Each write is one transaction that is synced before
// the method returns. A write that was interrupted by a power loss is undone completely at
// the next Open.
type Disk struct {
	path     string
	database *bolt.DB
	failed   error // error of the first failed write, returned by all later calls
}

var _ Store = (*Disk)(nil)

// Open opens the store in a folder. If there is none, it creates the folder and a store
// with a random identity.
func Open(folder string) (*Disk, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fmt.Errorf("storage: create folder: %w", err)
	}
	path := filepath.Join(folder, fileName)
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		if err := create(folder, path); err != nil {
			return nil, err
		}
	}
	return openFile(path)
}

// create prepares a store under a temporary name and renames it when it is complete, so
// that a power loss before that leaves no file that could be taken for a store.
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
	database.AllocSize = growthBytes
	return &Disk{path: path, database: database}, nil
}

// prepare creates the buckets, the format and the identity of a new store in one
// transaction.
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
		if err := putRecord(meta, formatKey, singletonIndex, formatVersion); err != nil {
			return err
		}
		identity, err := newIdentity()
		if err != nil {
			return err
		}
		return putRecord(meta, identityKey, singletonIndex, identity)
	})
}

func newIdentity() (consensus.ID, error) {
	random := make([]byte, identityBytes)
	if _, err := rand.Read(random); err != nil {
		return consensus.None, err
	}
	return consensus.ID(hex.EncodeToString(random)), nil
}

// syncFolder syncs a folder, which makes a rename in it durable.
func syncFolder(folder string) error {
	handle, err := os.Open(folder)
	if err != nil {
		return fmt.Errorf("storage: open folder: %w", err)
	}
	return errors.Join(handle.Sync(), handle.Close())
}

// write runs one synced transaction. The first failure is kept. Unless the disk is full it
// is final, because the state on disk is unknown after a failed sync.
func (d *Disk) write(operation string, change func(*bolt.Tx) error) error {
	if d.failed != nil {
		return d.failed
	}
	err := d.database.Update(change)
	switch {
	case err == nil:
		return nil
	case isNoSpace(err):
		d.failed = &NoSpaceError{Operation: operation, Err: err}
	default:
		d.failed = &FinalError{Operation: operation, Err: err}
	}
	return d.failed
}

// Recover implements Store. The file is opened anew, so that nothing of the failed
// transaction is left in memory. The synced write shows that there is room, and that all
// earlier writes are on the disk as well.
func (d *Disk) Recover() error {
	var full *NoSpaceError
	if !errors.As(d.failed, &full) {
		return d.failed
	}
	if err := d.database.Close(); err != nil {
		d.failed = &FinalError{Operation: "close", Err: err}
		return d.failed
	}
	reopened, err := openFile(d.path)
	if err != nil {
		d.failed = &FinalError{Operation: "open", Err: err}
		return d.failed
	}
	*d = *reopened
	return d.write("recover", func(tx *bolt.Tx) error {
		return putRecord(tx.Bucket(metaBucket), formatKey, singletonIndex, formatVersion)
	})
}

// putRecord stores the record of a value under a key. See encodeRecord for the position.
func putRecord(bucket *bolt.Bucket, key []byte, position uint64, value any) error {
	record, err := encodeRecord(position, value)
	if err != nil {
		return err
	}
	return bucket.Put(key, record)
}

// SetCluster implements Store.
func (d *Disk) SetCluster(cluster string) error {
	return d.write("set cluster", func(tx *bolt.Tx) error {
		return putRecord(tx.Bucket(metaBucket), clusterKey, singletonIndex, cluster)
	})
}

// SetInitialControl implements Store.
func (d *Disk) SetInitialControl(addresses map[string]string) error {
	return d.write("set initial control nodes", func(tx *bolt.Tx) error {
		return putRecord(tx.Bucket(metaBucket), initialKey, singletonIndex, addresses)
	})
}

// Save implements Store.
func (d *Disk) Save(state *consensus.HardState, entries []consensus.Entry) error {
	if state == nil && len(entries) == 0 {
		return nil
	}
	return d.write("save", func(tx *bolt.Tx) error {
		if state != nil {
			if err := putRecord(tx.Bucket(stateBucket), hardStateKey, singletonIndex, *state); err != nil {
				return err
			}
		}
		if len(entries) == 0 {
			return nil
		}
		return appendEntries(tx, entries)
	})
}

// SaveSnapshot implements Store.
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
		if !logMatches(log, snapshot) {
			keepFrom = 0
			if err := truncateFrom(log, 0); err != nil {
				return err
			}
		}
		if err := compactBefore(log, keepFrom); err != nil {
			return err
		}
		return saveLogBounds(tx)
	})
}

// Close implements Store.
func (d *Disk) Close() error {
	return d.database.Close()
}
