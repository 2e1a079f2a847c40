package storage

import (
	"testing"

	"github.com/deckpulley/deckpulley/consensus"
)

// BenchmarkSnapshot measures the snapshot that a busy node takes: of a log of
// 4,096 entries the newest 1,024 stay.
func BenchmarkSnapshot(b *testing.B) {
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
