package storage

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	bolt "go.etcd.io/bbolt"
	"pgregory.net/rapid"

	"github.com/deckpulley/deckpulley/consensus"
)

func entries(from, to, term uint64) []consensus.Entry {
	var made []consensus.Entry
	for index := from; index <= to; index++ {
		made = append(made, consensus.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "%d/%d", term, index)})
	}
	return made
}

func mustOpen(t *testing.T, folder string) *Disk {
	t.Helper()
	disk, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = disk.Close() })
	return disk
}

func mustLoad(t testing.TB, store Store) State {
	t.Helper()
	loaded, err := store.Load()
	if err != nil {
		t.Fatal(err)
	}
	return loaded
}

func TestIdentityIsMadeOnceAndPerDisk(t *testing.T) {
	folder := t.TempDir()
	disk := mustOpen(t, folder)
	first := mustLoad(t, disk).Identity
	if err := disk.SetCluster("group"); err != nil {
		t.Fatal(err)
	}
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
	again := mustLoad(t, mustOpen(t, folder))
	if again.Identity != first || again.Cluster != "group" {
		t.Fatalf("reopened as %+v, want identity %s", again, first)
	}
	if other := mustLoad(t, mustOpen(t, t.TempDir())).Identity; other == first || other == "" {
		t.Fatalf("another disk has identity %q", other)
	}
}

// TestDiskEqualsMemory drives both stores through the same random history of
// writes and compares what is read back, with the disk reopened now and then.
func TestDiskEqualsMemory(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		folder, err := os.MkdirTemp("", "storage")
		if err != nil {
			r.Fatal(err)
		}
		defer func() { _ = os.RemoveAll(folder) }()
		disk, err := Open(folder)
		if err != nil {
			r.Fatal(err)
		}
		defer func() { _ = disk.Close() }()
		identity := mustLoad(t, disk).Identity
		memory := NewMemory(identity)
		var first, last, term, snapshot uint64 = 1, 0, 1, 0
		for range rapid.IntRange(1, 12).Draw(r, "writes") {
			switch rapid.IntRange(0, 3).Draw(r, "write") {
			case 0, 1:
				from := rapid.Uint64Range(max(first, snapshot+1), last+1).Draw(r, "from")
				term += rapid.Uint64Range(0, 1).Draw(r, "raise")
				count := rapid.Uint64Range(1, 5).Draw(r, "count")
				added := entries(from, from+count-1, term)
				last = from + count - 1
				state := &consensus.HardState{Term: term, Vote: "v", Commit: snapshot}
				if disk.Save(state, added) != nil || memory.Save(state, added) != nil {
					r.Fatal("save failed")
				}
			case 2:
				made, keepFrom := drawSnapshot(r, mustLoad(t, memory), last, term)
				if disk.SaveSnapshot(made, keepFrom) != nil || memory.SaveSnapshot(made, keepFrom) != nil {
					r.Fatal("snapshot failed")
				}
				held := mustLoad(t, memory)
				snapshot, first, last = made.Index, made.Index+1, made.Index
				if count := len(held.Entries); count > 0 {
					first, last = held.Entries[0].Index, held.Entries[count-1].Index
				}
			case 3:
				if err := disk.Close(); err != nil {
					r.Fatal(err)
				}
				if disk, err = Open(folder); err != nil {
					r.Fatal(err)
				}
			}
			if difference := cmp.Diff(mustLoad(t, memory), mustLoad(t, disk), cmpopts.EquateEmpty()); difference != "" {
				r.Fatal(difference)
			}
		}
	})
}

// drawSnapshot draws either a member's own snapshot or one that a leader sent.
func drawSnapshot(r *rapid.T, held State, last, term uint64) (consensus.Snapshot, uint64) {
	index := rapid.Uint64Range(held.Snapshot.Index+1, max(last, held.Snapshot.Index)+3).Draw(r, "index")
	made := consensus.Snapshot{Index: index, Term: term, Data: []byte("table")}
	for _, entry := range held.Entries {
		if entry.Index == index && rapid.Bool().Draw(r, "own") {
			made.Term = entry.Term
		}
	}
	return made, rapid.Uint64Range(1, index+1).Draw(r, "keepFrom")
}

// TestDamageIsFound damages each kind of record and expects its name back.
func TestDamageIsFound(t *testing.T) {
	damage := func(bucket, key []byte, change func([]byte) []byte) func(*bolt.Tx) error {
		return func(tx *bolt.Tx) error {
			record := change(append([]byte(nil), tx.Bucket(bucket).Get(key)...))
			if record == nil {
				return tx.Bucket(bucket).Delete(key)
			}
			return tx.Bucket(bucket).Put(key, record)
		}
	}
	flip := func(record []byte) []byte { record[len(record)-1] ^= 1; return record }
	cut := func(record []byte) []byte { return record[:3] }
	drop := func([]byte) []byte { return nil }
	cases := []struct {
		name   string
		change func(*bolt.Tx) error
		bucket string
		index  uint64
	}{
		{"identity", damage(metaBucket, identityKey, flip), "meta", 0},
		{"identity gone", damage(metaBucket, identityKey, drop), "meta", 0},
		{"cluster", damage(metaBucket, clusterKey, flip), "meta", 0},
		{"hard state", damage(stateBucket, hardKey, flip), "state", 0},
		{"snapshot", damage(snapshotBucket, currentKey, flip), "snapshot", 4},
		{"middle entry", damage(logBucket, indexKey(7), flip), "log", 7},
		{"short entry", damage(logBucket, indexKey(7), cut), "log", 7},
		{"middle entry gone", damage(logBucket, indexKey(7), drop), "log", 7},
		{"first entry gone", damage(logBucket, indexKey(5), drop), "log", 5},
		{"last entry gone", damage(logBucket, indexKey(9), drop), "log", 9},
		{"entry in another's place", func(tx *bolt.Tx) error {
			log := tx.Bucket(logBucket)
			return log.Put(indexKey(7), append([]byte(nil), log.Get(indexKey(8))...))
		}, "log", 7},
		{"snapshot gone", damage(snapshotBucket, currentKey, drop), "log", 1},
		{"committed entries gone", func(tx *bolt.Tx) error {
			return errors.Join(deleteFrom(tx.Bucket(logBucket), 6), saveBounds(tx))
		}, "log", 6},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			folder := t.TempDir()
			disk := mustOpen(t, folder)
			saved := errors.Join(
				disk.SetCluster("group"),
				disk.SaveSnapshot(consensus.Snapshot{Index: 4, Term: 1, Data: []byte("table")}, 5),
				disk.Save(&consensus.HardState{Term: 2, Commit: 8}, entries(5, 9, 2)),
			)
			if saved != nil {
				t.Fatal(saved)
			}
			mustLoad(t, disk)
			if err := disk.database.Update(test.change); err != nil {
				t.Fatal(err)
			}
			_, err := disk.Load()
			var corrupt *CorruptError
			if !errors.As(err, &corrupt) || corrupt.Bucket != test.bucket || corrupt.Index != test.index {
				t.Fatalf("got %v, want damage in %s at %d", err, test.bucket, test.index)
			}
		})
	}
}

// TestTornWriteIsUndone cuts the newest meta page short, as a power cut in the
// middle of the last write would, and expects the state before that write.
func TestTornWriteIsUndone(t *testing.T) {
	folder := t.TempDir()
	disk := mustOpen(t, folder)
	if err := disk.Save(&consensus.HardState{Term: 1}, entries(1, 3, 1)); err != nil {
		t.Fatal(err)
	}
	before := mustLoad(t, disk)
	if err := disk.Save(&consensus.HardState{Term: 2}, entries(4, 6, 2)); err != nil {
		t.Fatal(err)
	}
	pageSize := int64(disk.database.Info().PageSize)
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
	tearNewestMeta(t, filepath.Join(folder, fileName), pageSize)
	if difference := cmp.Diff(before, mustLoad(t, mustOpen(t, folder))); difference != "" {
		t.Fatal(difference)
	}
}

func tearNewestMeta(t *testing.T, path string, pageSize int64) {
	t.Helper()
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	const transactionOffset = 16 + 48 // page header, then the meta's transaction id
	var newest, highest int64
	for page := range int64(2) {
		field := make([]byte, 8)
		if _, err := file.ReadAt(field, page*pageSize+transactionOffset); err != nil {
			t.Fatal(err)
		}
		if id := int64(field[0]) | int64(field[1])<<8; id > highest {
			newest, highest = page, id
		}
	}
	if _, err := file.WriteAt(make([]byte, 32), newest*pageSize+transactionOffset); err != nil {
		t.Fatal(err)
	}
}

// TestFullDiskIsFinal lets the file grow no further and expects the first error
// to come back from every later call, even after there is room again.
func TestFullDiskIsFinal(t *testing.T) {
	folder := t.TempDir()
	disk := mustOpen(t, folder)
	if err := disk.Save(nil, entries(1, 3, 1)); err != nil {
		t.Fatal(err)
	}
	before := mustLoad(t, disk)
	signal.Ignore(syscall.SIGXFSZ)
	defer signal.Reset(syscall.SIGXFSZ)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &limit); err != nil {
		t.Fatal(err)
	}
	small := syscall.Rlimit{Cur: 1 << 16, Max: limit.Max}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &small); err != nil {
		t.Fatal(err)
	}
	large := []consensus.Entry{{Index: 4, Term: 1, Data: make([]byte, 1<<20)}}
	err := disk.Save(nil, large)
	if limitErr := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limit); limitErr != nil {
		t.Fatal(limitErr)
	}
	var final *FinalError
	if !errors.As(err, &final) {
		t.Fatalf("got %v, want a final error", err)
	}
	if err := disk.Save(nil, entries(4, 4, 1)); !errors.Is(err, final) {
		t.Fatalf("a write after the failure returned %v", err)
	}
	if _, err := disk.Load(); !errors.Is(err, final) {
		t.Fatalf("a load after the failure returned %v", err)
	}
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(before, mustLoad(t, mustOpen(t, folder))); difference != "" {
		t.Fatal(difference)
	}
}

// TestLongLogIsDropped installs a snapshot over a log of many pages that does
// not reach it, as a member does that was away for long.
func TestLongLogIsDropped(t *testing.T) {
	folder := t.TempDir()
	disk, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	var entries []consensus.Entry
	for index := uint64(1); index <= 2000; index++ {
		entries = append(entries, consensus.Entry{Term: 1, Index: index, Data: make([]byte, 100)})
	}
	if err := disk.Save(&consensus.HardState{Term: 1, Commit: 2000}, entries); err != nil {
		t.Fatal(err)
	}
	snapshot := consensus.Snapshot{Index: 7000, Term: 2, Data: []byte("state")}
	if err := disk.SaveSnapshot(snapshot, 6500); err != nil {
		t.Fatal(err)
	}
	next := consensus.Entry{Term: 2, Index: 7001}
	if err := disk.Save(&consensus.HardState{Term: 2, Commit: 7000}, []consensus.Entry{next}); err != nil {
		t.Fatal(err)
	}
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
	disk, err = Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer disk.Close()
	loaded, err := disk.Load()
	if err != nil {
		t.Fatal(err)
	}
	if loaded.Snapshot.Index != 7000 || len(loaded.Entries) != 1 || loaded.Entries[0].Index != 7001 {
		t.Fatalf("loaded snapshot %d and %d entries", loaded.Snapshot.Index, len(loaded.Entries))
	}
}

func TestMemoryCrashesAroundAWrite(t *testing.T) {
	for _, after := range []bool{false, true} {
		memory := NewMemory("disk")
		memory.ScheduleCrash(CrashPlan{Write: 2, AfterWrite: after})
		if err := memory.Save(nil, entries(1, 1, 1)); err != nil {
			t.Fatal(err)
		}
		if err := memory.Save(nil, entries(2, 2, 1)); !errors.Is(err, ErrCrash) {
			t.Fatalf("planned crash returned %v", err)
		}
		if err := memory.Save(nil, entries(3, 3, 1)); !errors.Is(err, ErrCrash) {
			t.Fatalf("a write without power returned %v", err)
		}
		memory.Reopen()
		want := 1
		if after {
			want = 2
		}
		if got := len(mustLoad(t, memory).Entries); got != want {
			t.Fatalf("after=%v: %d entries, want %d", after, got, want)
		}
		memory.Wipe("new disk")
		if loaded := mustLoad(t, memory); loaded.Identity != "new disk" || len(loaded.Entries) != 0 {
			t.Fatalf("a wiped disk holds %+v", loaded)
		}
	}
}
