package storage

import (
	"errors"
	"fmt"
)

// ErrCrash is returned by Memory, or wrapped in a *FinalError, while its power is cut.
var ErrCrash = errors.New("storage: power cut")

// CorruptError is a record that is missing or not what was written. The process must
// end: the lost content may have been acknowledged.
type CorruptError struct {
	Bucket string // of the file: meta, state, log or snapshot
	Index  uint64 // of the log entry or the snapshot; 0 for other records
	Reason string
}

// Error names the corrupt record and what is wrong with it.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("storage: corrupt record in %s at index %d: %s", e.Bucket, e.Index, e.Reason)
}

// FinalError means that a write failed and the state on disk is in doubt. Each later
// call returns it again: the process must end and read the disk at its next start.
type FinalError struct {
	Operation string
	Err       error
}

// Error names the operation and its cause.
func (e *FinalError) Error() string {
	return fmt.Sprintf("storage: %s failed, disk state is in doubt: %v", e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *FinalError) Unwrap() error {
	return e.Err
}
