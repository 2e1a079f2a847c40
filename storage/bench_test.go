package storage

import (
	"testing"

	"github.com/deckpulley/deckpulley/consensus"
)

// BenchmarkSave writes one entry of 512 bytes in each synced transaction.
func BenchmarkSave(b *testing.B) {
	disk, err := Open(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = disk.Close() }()
	data := make([]byte, 512)
	index := uint64(0)
	for b.Loop() {
		index++
		if err := disk.Save(nil, []consensus.Entry{{Index: index, Term: 1, Data: data}}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLoad reads and verifies 1,000 entries of 512 bytes.
func BenchmarkLoad(b *testing.B) {
	disk, err := Open(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = disk.Close() }()
	log := entries(1, 1000, 1)
	for i := range log {
		log[i].Data = make([]byte, 512)
	}
	if err := disk.Save(&consensus.HardState{Term: 1, Commit: 1000}, log); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		mustLoad(b, disk)
	}
}

// BenchmarkSaveSnapshot saves a snapshot that compacts a log of 4,096 entries to the newest
// 1,024, as on a busy node.
func BenchmarkSaveSnapshot(b *testing.B) {
	const length, retained = 4096, 1024
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
		if err := disk.SaveSnapshot(snapshot, length-retained+1); err != nil {
			b.Fatal(err)
		}
		b.StopTimer()
		if err := disk.Close(); err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
	}
}
