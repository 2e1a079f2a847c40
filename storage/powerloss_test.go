package storage

import (
	"bytes"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/deckpulley/deckpulley/consensus"
)

// The model of a loss of power. A file holds what its last sync covered; each
// later write is present, missing or torn. The store writes a transaction in two
// steps, each synced: its pages, then one of the two first pages of the file. So a
// loss within the first step leaves any part of the pages and the old first pages,
// one within the second all pages and any part of a first page.

const (
	// sectorBytes is what a disk writes whole or not at all.
	sectorBytes = 512
	metaPages   = 2
)

// image is a file as it was at a sync, and what was stored then.
type image struct {
	content []byte
	loaded  State
}

// torn returns what may be left of the writes from one image to the next.
func torn(random *rand.Rand, from, to []byte, pageBytes int, secondStep bool) []byte {
	left := bytes.Clone(from)
	if len(to) > len(left) && (secondStep || random.IntN(2) == 0) {
		left = append(left, make([]byte, len(to)-len(left))...)
	}
	for at := 0; at+sectorBytes <= min(len(left), len(to)); at += sectorBytes {
		meta := at < metaPages*pageBytes
		switch {
		case secondStep && !meta:
			copy(left[at:at+sectorBytes], to[at:])
		case secondStep == meta && random.IntN(2) == 0:
			copy(left[at:at+sectorBytes], to[at:])
		}
	}
	return left
}

// history does random writes and returns the file after each of them.
func history(t *testing.T, random *rand.Rand, writes int) (images []image, pageBytes int) {
	t.Helper()
	folder := t.TempDir()
	path := filepath.Join(folder, fileName)
	disk := mustOpen(t, folder)
	pageBytes = disk.database.Info().PageSize
	keep := func() {
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		images = append(images, image{content: content, loaded: mustLoad(t, disk)})
	}
	keep()
	last, first := uint64(0), uint64(1)
	for range writes {
		var err error
		switch random.IntN(6) {
		case 0:
			err = disk.Save(&consensus.HardState{Term: last + 1, Commit: last}, nil)
		case 1:
			if last < first+4 {
				continue
			}
			index := first + random.Uint64N(last-first)
			snapshot := consensus.Snapshot{Index: index, Term: 1, Data: make([]byte, random.IntN(20_000))}
			err = disk.SaveSnapshot(snapshot, index+1)
			first = index + 1
		default:
			count := 1 + random.Uint64N(8)
			err = disk.Save(nil, entries(last+1, last+count, 1))
			last += count
		}
		if err != nil {
			t.Fatal(err)
		}
		keep()
	}
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
	return images, pageBytes
}

// TestPowerLossLeavesOneOfTwoStates: after a loss of power within a write the
// store opens and holds what it held before the write, or all of the write, and
// before the second step never the latter.
func TestPowerLossLeavesOneOfTwoStates(t *testing.T) {
	const seeds, writes, lossesEach = 8, 12, 4
	kept, undone := 0, 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 7))
		images, pageBytes := history(t, random, writes)
		for i := 1; i < len(images); i++ {
			for range lossesEach {
				second := random.IntN(2) == 0
				left := torn(random, images[i-1].content, images[i].content, pageBytes, second)
				got := reopen(t, left)
				before, after := cmp.Diff(images[i-1].loaded, got) == "", cmp.Diff(images[i].loaded, got) == ""
				switch {
				case before:
					undone++
				case after && second:
					kept++
				default:
					t.Fatalf("seed %d, write %d, second step %v: the store holds neither state", seed, i, second)
				}
			}
		}
	}
	if kept < 50 || undone < 50 {
		t.Errorf("too little happened: %d writes kept, %d undone", kept, undone)
	}
}

// reopen puts a file into a new folder and reads the store from it.
func reopen(t *testing.T, content []byte) State {
	t.Helper()
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, fileName), content, fileMode); err != nil {
		t.Fatal(err)
	}
	disk := mustOpen(t, folder)
	loaded := mustLoad(t, disk)
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
	return loaded
}

// TestPowerLossWhileTheStoreIsMade: whatever is left of a store that was not
// renamed yet, the next start makes a new one.
func TestPowerLossWhileTheStoreIsMade(t *testing.T) {
	whole := t.TempDir()
	if err := mustOpen(t, whole).Close(); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(filepath.Join(whole, fileName))
	if err != nil {
		t.Fatal(err)
	}
	for name, left := range map[string][]byte{
		"nothing written": {},
		"zeros":           make([]byte, len(content)),
		"half":            content[:len(content)/2],
		"all":             content,
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			if err := os.WriteFile(filepath.Join(folder, fileName+unfinishedSuffix), left, fileMode); err != nil {
				t.Fatal(err)
			}
			disk := mustOpen(t, folder)
			if loaded := mustLoad(t, disk); loaded.Identity == consensus.None || loaded.Cluster != "" {
				t.Errorf("got %+v", loaded)
			}
			if _, err := os.Stat(filepath.Join(folder, fileName+unfinishedSuffix)); !os.IsNotExist(err) {
				t.Errorf("the unfinished store is still there: %v", err)
			}
		})
	}
}
