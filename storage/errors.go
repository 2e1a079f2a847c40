package storage

import (
	"errors"
	"fmt"
)

// ErrCrash is returned by Memory, or wrapped in a *FinalError, from a simulated power loss
// until the store is reopened.
var ErrCrash = errors.New("storage: simulated power loss")

// CorruptError reports a record that is missing or differs from what was written. The
// process must exit, since the lost content may have been acknowledged.
type CorruptError struct {
	Bucket string // bucket of the file: meta, state, log or snapshot
	Index  uint64 // index of the log entry or snapshot; 0 for other records
	Reason string
}

// Error returns the location of the corrupt record and the reason.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("storage: corrupt record in %s at index %d: %s", e.Bucket, e.Index, e.Reason)
}

// FinalError reports that a write failed and that the state on disk is therefore unknown.
// All later calls return the same error. The process must exit and load the state again at
// its next start.
type FinalError struct {
	Operation string
	Err       error
}

// Error returns the failed operation and its cause.
func (e *FinalError) Error() string {
	return fmt.Sprintf("storage: %s failed, state on disk is unknown: %v", e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *FinalError) Unwrap() error {
	return e.Err
}
