package storage

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
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

// NoSpaceError reports that a write failed because the disk is full, before anything was
// synced: nothing of it is stored. All later calls return the same error until
// Store.Recover succeeds.
type NoSpaceError struct {
	Operation string
	Err       error
}

// Error returns the failed operation and its cause.
func (e *NoSpaceError) Error() string {
	return fmt.Sprintf("storage: %s failed, no space left: %v", e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *NoSpaceError) Unwrap() error { return e.Err }

// resizeFailure begins the text in which bbolt wraps an error of growing its file.
const resizeFailure = "file resize error"

// isNoSpace reports whether an error of a transaction means that the disk is full and that
// the transaction was rolled back. It covers the writes of pages and the growth of the
// file. An error of a sync is not one of them: what is on the disk after it is unknown.
func isNoSpace(err error) bool {
	var path *os.PathError
	if errors.As(err, &path) && path.Op == "write" {
		return errors.Is(path.Err, syscall.ENOSPC) || errors.Is(path.Err, syscall.EDQUOT)
	}
	text := err.Error()
	return strings.Contains(text, resizeFailure) && strings.HasSuffix(text, syscall.ENOSPC.Error())
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
