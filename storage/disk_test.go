package storage

import (
	"testing"

	"github.com/deckpulley/deckpulley/consensus"
)

// BenchmarkSaveSnapshot measures the snapshot that a busy node takes: of a log of
// 4,096 entries the newest 1,024 stay.
func BenchmarkSaveSnapshot(b *testing.B) {
	const length, kept = 4096, 1024
	for b.Loop() {
		b.StopTimer()
		disk, err := Open(b.TempDir())
		if err != nil {
			b.Fatal(err)
		}
		for first := uint64(1); first <= length; first += 64 {
			var entries []consensus.Entry
			for index := first; index < first+64; index++ {
				entries = append(entries, consensus.Entry{Index: index, Term: 1, Kind: consensus.EntryNormal, Data: make([]byte, 128)})
			}
			if err := disk.Save(nil, entries); err != nil {
				b.Fatal(err)
			}
		}
		snapshot := consensus.Snapshot{Index: length, Term: 1, Data: make([]byte, 100<<10)}
		b.StartTimer()
		if err := disk.SaveSnapshot(snapshot, length-kept+1); err != nil {
			b.Fatal(err)
		}
		b.StopTimer()
		if err := disk.Close(); err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
	}
}

// TestLongLogIsCut cuts a log of many pages at both ends.
func TestLongLogIsCut(t *testing.T) {
	const length, cutAt, keepFrom = 4096, 3000, 1500
	disk, err := Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer disk.Close()
	var entries []consensus.Entry
	for index := uint64(1); index <= length; index++ {
		entries = append(entries, consensus.Entry{Index: index, Term: 1, Kind: consensus.EntryNormal, Data: make([]byte, 128)})
	}
	overwriting := []consensus.Entry{{Index: cutAt, Term: 2, Kind: consensus.EntryNormal}}
	for _, batch := range [][]consensus.Entry{entries, overwriting} {
		if err := disk.Save(nil, batch); err != nil {
			t.Fatal(err)
		}
	}
	if err := disk.SaveSnapshot(consensus.Snapshot{Index: cutAt - 1, Term: 1}, keepFrom); err != nil {
		t.Fatal(err)
	}
	loaded, err := disk.Load()
	if err != nil {
		t.Fatal(err)
	}
	held := loaded.Entries
	if len(held) != cutAt-keepFrom+1 || held[0].Index != keepFrom || held[len(held)-1].Term != 2 {
		t.Errorf("the log holds %d entries from %d, want %d from %d and the overwriting one last", len(held), held[0].Index, cutAt-keepFrom+1, keepFrom)
	}
}
