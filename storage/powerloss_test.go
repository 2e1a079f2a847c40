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

// These tests model a power loss as follows. A file has the content of its last sync, and
// each later write is present, missing or torn. The store writes a transaction in two
// steps, each of which is synced: first its pages, then one of the two meta pages at the
// beginning of the file. After a power loss in the first step, the file has any subset of
// the new pages' sectors and the old meta pages. After a loss in the second step it has all
// new pages and any subset of the meta page's sectors.

const (
	// sectorBytes is the size of the unit that a disk writes atomically.
	sectorBytes = 512
	metaPages   = 2
)

// image is the content of a file after a sync, and the state stored in it.
type image struct {
	content []byte
	loaded  State
}

// tornContent returns a random possible content of the file after a power loss during the
// write that changes the file from one content to the next.
func tornContent(random *rand.Rand, from, to []byte, pageBytes int, secondStep bool) []byte {
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

// randomImages makes random writes and returns the image before the first write and after
// each of them.
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

// TestPowerLossLeavesStateBeforeOrAfterWrite checks that after a power loss during a write
// the store has either the state before the write or the state after it. The latter is
// possible only if the power was lost in the second step.
func TestPowerLossLeavesStateBeforeOrAfterWrite(t *testing.T) {
	const seeds, writes, lossesEach = 8, 12, 4
	durable, undone := 0, 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 7))
		images, pageBytes := randomImages(t, random, writes)
		for i := 1; i < len(images); i++ {
			for range lossesEach {
				second := random.IntN(2) == 0
				left := tornContent(random, images[i-1].content, images[i].content, pageBytes, second)
				got := reopen(t, left)
				before, after := cmp.Diff(images[i-1].loaded, got) == "", cmp.Diff(images[i].loaded, got) == ""
				switch {
				case before:
					undone++
				case after && second:
					durable++
				default:
					t.Fatalf("seed %d, write %d, loss in the second step %v: the store has neither the old nor the new state", seed, i, second)
				}
			}
		}
	}
	if durable < 50 || undone < 50 {
		t.Errorf("too few cases: %d writes were durable and %d undone, want at least 50 of each", durable, undone)
	}
}

// reopen writes the content to a file in a new folder and loads the store from it.
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

// TestPowerLossDuringCreation checks that Open creates a new store whatever a power loss
// has left of a store that was not renamed yet.
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
				t.Errorf("loaded %+v, want an empty store with an identity", loaded)
			}
			if _, err := os.Stat(filepath.Join(folder, fileName+unfinishedSuffix)); !os.IsNotExist(err) {
				t.Errorf("the unfinished file was not removed: %v", err)
			}
		})
	}
}
