// Package storage keeps a member's identity, its log and its snapshot on disk.
// Nothing that a method has returned without an error is lost by a power cut.
package storage

import (
	"github.com/deckpulley/deckpulley/consensus"
)

// State is what a disk holds at start.
type State struct {
	Identity consensus.ID
	// Cluster is the random id of the group; empty until formed or joined.
	Cluster   string
	HardState consensus.HardState
	Snapshot  consensus.Snapshot
	Entries   []consensus.Entry
}

// Store is one member's disk. Implementations are used from one goroutine.
// An error from a Save method is final: the state on disk is in doubt and the
// process must end (a failed sync is never retried).
type Store interface {
	// Load reads everything back and verifies each record's checksum. A corrupt
	// record is a *CorruptError, never skipped.
	Load() (State, error)
	// SetCluster records that this disk belongs to a group.
	SetCluster(cluster string) error
	// Save appends entries (truncating what conflicts) and the hard state in one
	// synced transaction. Either may be nil or empty.
	Save(state *consensus.HardState, entries []consensus.Entry) error
	// SaveSnapshot stores the snapshot and drops the log up to keepFrom-1. If the
	// log does not reach the snapshot's index, the whole log is dropped.
	SaveSnapshot(snapshot consensus.Snapshot, keepFrom uint64) error
	Close() error
}
