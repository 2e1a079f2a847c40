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

// The model of a power loss: a file has what its last sync covered, and each later
// write is present, missing or torn. The store writes a transaction in two steps,
// each synced: its pages, then one of the two meta pages at the file's beginning. A
// loss in the first step leaves any part of the pages and the old meta pages, one in
// the second step all pages and any part of a meta page.

const (
	// sectorBytes is what a disk writes completely or not at all.
	sectorBytes = 512
	metaPages   = 2
)

// image is a file at a sync, with what was stored then.
type image struct {
	content []byte
	loaded  State
}

// torn returns a file that may be left of the writes from one image to the next.
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

// randomImages makes random writes and returns the file after each of them.
func randomImages(t *testing.T, random *rand.Rand, writes int) (images []image, pageBytes int) {
	t.Helper()
	folder := t.TempDir()
	path := filepath.Join(folder, fileName)
	disk := mustOpen(t, folder)
	pageBytes = disk.database.Info().PageSize
	record := func() {
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		images = append(images, image{content: content, loaded: mustLoad(t, disk)})
	}
	record()
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
		record()
	}
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
	return images, pageBytes
}

// TestPowerLossLeavesOneOfTwoStates holds that after a power loss during a write the
// store opens with the state before the write or with all of the write, and never
// with the latter before the second step.
func TestPowerLossLeavesOneOfTwoStates(t *testing.T) {
	const seeds, writes, lossesEach = 8, 12, 4
	durable, undone := 0, 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 7))
		images, pageBytes := randomImages(t, random, writes)
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
					durable++
				default:
					t.Fatalf("seed %d, write %d, second step %v: the store has neither state", seed, i, second)
				}
			}
		}
	}
	if durable < 50 || undone < 50 {
		t.Errorf("too few losses: %d writes durable, %d undone", durable, undone)
	}
}

// reopen writes a file into a new folder and loads the store from it.
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

// TestPowerLossDuringCreation holds that the next start creates a new store, whatever
// is left of one that was not renamed yet.
func TestPowerLossDuringCreation(t *testing.T) {
	complete := t.TempDir()
	if err := mustOpen(t, complete).Close(); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(filepath.Join(complete, fileName))
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
