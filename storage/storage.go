// Package storage keeps a member's identity, its log and its snapshot on disk. A
// write whose method has returned without an error survives a power cut.
package storage

import (
	"github.com/deckpulley/deckpulley/consensus"
)

// State is everything that is stored on a member's disk.
type State struct {
	// Identity is the random id of the disk.
	Identity consensus.ID
	// Cluster is the random id of the cluster; empty until the member has
	// bootstrapped or joined one.
	Cluster   string
	HardState consensus.HardState
	// Snapshot has index 0 if there is none.
	Snapshot consensus.Snapshot
	// Entries are in the order of their indexes, without a gap. They may begin at or
	// before the snapshot's index.
	Entries []consensus.Entry
}

// Store is one member's disk. Implementations are used from one goroutine.
//
// An error of a write is a *FinalError: the state on disk is in doubt and the
// process must end. A failed sync is never retried.
type Store interface {
	// Load reads everything and verifies each record's checksum. It returns a
	// *CorruptError for a corrupt record and never skips one.
	Load() (State, error)
	// SetCluster records that this disk belongs to a cluster.
	SetCluster(cluster string) error
	// Save appends entries and the hard state in one synced transaction. Existing
	// entries from the first new index on are deleted. The state may be nil, the
	// entries empty.
	Save(state *consensus.HardState, entries []consensus.Entry) error
	// SaveSnapshot replaces the snapshot and deletes the entries before keepFrom. If
	// the log does not have the entry that the snapshot ends with, it deletes all.
	SaveSnapshot(snapshot consensus.Snapshot, keepFrom uint64) error
	// Close releases the disk. It writes nothing.
	Close() error
}
