// Package storage stores a member's identity, its Raft log and its snapshot on disk. A
// write whose method has returned without an error survives a power loss.
package storage

import (
	"github.com/deckpulley/deckpulley/consensus"
)

// State is everything that a member stores on its disk.
type State struct {
	// Identity is the random ID of the disk.
	Identity consensus.ID
	// Cluster is the random ID of the cluster. It is empty until the member has
	// bootstrapped or joined a cluster.
	Cluster string
	// InitialControl has the control nodes that bootstrap a new cluster, as peer addresses
	// by name; empty unless SetInitialControl was called.
	InitialControl map[string]string
	HardState      consensus.HardState
	// Snapshot is the latest snapshot; its index is 0 if there is none.
	Snapshot consensus.Snapshot
	// Entries is the log, sorted by index and without gaps. The first entries may be
	// included in the snapshot.
	Entries []consensus.Entry
}

// Store is the storage of one member. It is not safe for concurrent use.
//
// A failed write returns a *NoSpaceError if the disk is full, after which Recover may make
// the store usable again, and otherwise a *FinalError: the state on disk is unknown and the
// process must exit. A failed sync is never retried.
type Store interface {
	// Load reads all records and verifies their checksums. It returns a *CorruptError
	// if a record is corrupt, and never skips such a record.
	Load() (State, error)
	// SetCluster stores the ID of the cluster that this disk belongs to.
	SetCluster(cluster string) error
	// SetInitialControl stores the control nodes that bootstrap a new cluster, as peer
	// addresses by name.
	SetInitialControl(addresses map[string]string) error
	// Save appends entries and the hard state in one synced transaction. Existing
	// entries from the first new index on are deleted. state may be nil, and entries
	// may be empty.
	Save(state *consensus.HardState, entries []consensus.Entry) error
	// SaveSnapshot replaces the snapshot and deletes the entries before keepFrom. It
	// deletes all entries if the log does not have the last entry that the snapshot
	// includes.
	SaveSnapshot(snapshot consensus.Snapshot, keepFrom uint64) error
	// Recover makes the store usable after a *NoSpaceError if there is room again: it opens
	// the store anew and completes a synced write. The caller must then Load the state and
	// discard what it has in memory. It returns the *NoSpaceError while the disk is full,
	// or a *FinalError.
	Recover() error
	// Close closes the store. It does not write anything.
	Close() error
}
