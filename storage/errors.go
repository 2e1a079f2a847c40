package storage

import (
	"errors"
	"fmt"
)

// ErrCrash is what Memory returns when a planned power cut strikes.
var ErrCrash = errors.New("storage: power cut")

// CorruptError names a record that is not what was written. The process must
// not go on: what the record held may have been acknowledged.
type CorruptError struct {
	Bucket string
	// Index is the log index or the snapshot's; zero where there is none.
	Index  uint64
	Reason string
}

// Error names the damaged record and what is wrong with it.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("storage: corrupt record in %s at index %d: %s", e.Bucket, e.Index, e.Reason)
}

// FinalError means that the state on disk is in doubt. Each later call returns
// it again; the process must end and load the disk anew.
type FinalError struct {
	Operation string
	Err       error
}

// Error is the text of the failure that ended writing.
func (e *FinalError) Error() string {
	return fmt.Sprintf("storage: %s failed, disk state is in doubt: %v", e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *FinalError) Unwrap() error {
	return e.Err
}
