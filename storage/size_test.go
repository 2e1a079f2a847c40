package storage

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/deckpulley/deckpulley/consensus"
)

// TestFileSizeIsBounded guards against a file that fills a small disk although the log in it
// is compacted: by pages that are not reused, or by growing in steps of a quarter of the
// disk. Snapshots grow meanwhile.
func TestFileSizeIsBounded(t *testing.T) {
	const (
		diskBytes     = 64 << 20
		entryBytes    = 256 << 10
		entries       = 1000
		snapshotEvery = 16 // entries, 4 MiB
		maxSnapshot   = 6 << 20
		retained      = 8
	)
	folder := t.TempDir()
	disk, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer disk.Close()
	for index := uint64(1); index <= entries; index++ {
		entry := consensus.Entry{Term: 1, Index: index, Data: bytes.Repeat([]byte{byte(index)}, entryBytes)}
		if err := disk.Save(&consensus.HardState{Term: 1, Commit: index - 1}, []consensus.Entry{entry}); err != nil {
			t.Fatal(err)
		}
		if index%snapshotEvery != 0 {
			continue
		}
		data := bytes.Repeat([]byte{1}, maxSnapshot*int(index)/entries)
		if err := disk.SaveSnapshot(consensus.Snapshot{Index: index, Term: 1, Data: data}, index-retained+1); err != nil {
			t.Fatal(err)
		}
	}
	info, err := os.Stat(filepath.Join(folder, fileName))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("the file has %.1f MiB", float64(info.Size())/(1<<20))
	if info.Size() > diskBytes*3/4 {
		t.Errorf("the file has %d bytes, want at most three quarters of a disk of %d", info.Size(), diskBytes)
	}
}
