package storage

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"testing"

	"github.com/deckpulley/deckpulley/consensus"
)

// TestOnlyUnsyncedWritesCountAsNoSpace guards against a failed sync that is taken for a write
// without an effect: what is on the disk after it is unknown.
func TestOnlyUnsyncedWritesCountAsNoSpace(t *testing.T) {
	pathError := func(operation string, errno syscall.Errno) error {
		return &os.PathError{Op: operation, Path: "consensus.db", Err: errno}
	}
	for _, test := range []struct {
		err  error
		want bool
	}{
		{pathError("write", syscall.ENOSPC), true},
		{fmt.Errorf("wrapped: %w", pathError("write", syscall.EDQUOT)), true},
		{errors.New("file resize error: " + pathError("truncate", syscall.ENOSPC).Error()), true},
		{pathError("write", syscall.EIO), false},
		{pathError("sync", syscall.ENOSPC), false},
		{syscall.ENOSPC, false},
		{errors.New("file sync error: " + pathError("sync", syscall.ENOSPC).Error()), false},
		{errors.New("file resize error: unknown"), false},
	} {
		if got := isNoSpace(test.err); got != test.want {
			t.Errorf("%v: no space %v, want %v", test.err, got, test.want)
		}
	}
}

// TestDiskRecovers checks that a disk that was full returns the error until it is opened
// anew, and then has what was written before and nothing of the failed write.
func TestDiskRecovers(t *testing.T) {
	disk, err := Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer disk.Close()
	entry := consensus.Entry{Term: 1, Index: 1, Data: []byte("first")}
	if err := disk.Save(&consensus.HardState{Term: 1}, []consensus.Entry{entry}); err != nil {
		t.Fatal(err)
	}
	full := &NoSpaceError{Operation: "save", Err: syscall.ENOSPC}
	disk.failed = full
	if err := disk.Save(&consensus.HardState{Term: 2}, nil); !errors.Is(err, error(full)) {
		t.Fatalf("a write after the failed one returned %v, want the same error", err)
	}
	if err := disk.Recover(); err != nil {
		t.Fatal(err)
	}
	loaded, err := disk.Load()
	if err != nil || loaded.HardState.Term != 1 || len(loaded.Entries) != 1 {
		t.Fatalf("after recovery the disk has term %d and %d entries, error %v", loaded.HardState.Term, len(loaded.Entries), err)
	}
	if err := disk.Save(&consensus.HardState{Term: 3}, nil); err != nil {
		t.Fatal(err)
	}
	final := &FinalError{Operation: "save", Err: syscall.EIO}
	disk.failed = final
	if err := disk.Recover(); !errors.Is(err, error(final)) {
		t.Errorf("recovery after a failed sync returned %v, want the final error", err)
	}
}
