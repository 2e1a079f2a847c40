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
	made := entries(1, 1000, 1)
	for position := range made {
		made[position].Data = make([]byte, 512)
	}
	if err := disk.Save(&consensus.HardState{Term: 1, Commit: 1000}, made); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		mustLoad(b, disk)
	}
}
