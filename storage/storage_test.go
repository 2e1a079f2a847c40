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

// entries returns entries with the indexes from..to, inclusive, and the given term.
func entries(from, to, term uint64) []consensus.Entry {
	var list []consensus.Entry
	for index := from; index <= to; index++ {
		list = append(list, consensus.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "%d/%d", term, index)})
	}
	return list
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

func mustLoad(tb testing.TB, store Store) State {
	tb.Helper()
	loaded, err := store.Load()
	if err != nil {
		tb.Fatal(err)
	}
	return loaded
}

func TestIdentityIsCreatedOncePerDisk(t *testing.T) {
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
		t.Fatalf("the reopened store has %+v, want identity %s and the same cluster", again, first)
	}
	if other := mustLoad(t, mustOpen(t, t.TempDir())).Identity; other == first || other == "" {
		t.Fatalf("another store has identity %q, want a new one", other)
	}
}

// TestDiskAndMemoryLoadTheSameState applies the same random sequence of writes to a Disk
// and a Memory, with the Disk reopened at random, and checks that both load the same
// state.
func TestDiskAndMemoryLoadTheSameState(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		folder := t.TempDir()
		disk, err := Open(folder)
		if err != nil {
			r.Fatal(err)
		}
		pair := &storePair{folder: folder, disk: disk, memory: NewMemory(mustLoad(t, disk).Identity), first: 1, term: 1}
		defer func() { _ = pair.disk.Close() }()
		for range rapid.IntRange(1, 12).Draw(r, "writes") {
			switch rapid.IntRange(0, 3).Draw(r, "write") {
			case 0, 1:
				pair.saveEntries(r)
			case 2:
				pair.saveSnapshot(t, r)
			case 3:
				pair.reopenDisk(r)
			}
			if difference := cmp.Diff(mustLoad(t, pair.memory), mustLoad(t, pair.disk), cmpopts.EquateEmpty()); difference != "" {
				r.Fatal(difference)
			}
		}
	})
}

// storePair is a Disk and a Memory with the same writes.
type storePair struct {
	folder string
	disk   *Disk
	memory *Memory

	first, last uint64 // first and last index of the log
	term        uint64
	snapshot    uint64 // index of the snapshot
}

func (p *storePair) saveEntries(r *rapid.T) {
	from := rapid.Uint64Range(max(p.first, p.snapshot+1), p.last+1).Draw(r, "from")
	p.term += rapid.Uint64Range(0, 1).Draw(r, "raise")
	count := rapid.Uint64Range(1, 5).Draw(r, "count")
	p.last = from + count - 1
	added := entries(from, p.last, p.term)
	state := &consensus.HardState{Term: p.term, Vote: "v", Commit: p.snapshot}
	if p.disk.Save(state, added) != nil || p.memory.Save(state, added) != nil {
		r.Fatal("Save failed")
	}
}

func (p *storePair) saveSnapshot(t *testing.T, r *rapid.T) {
	t.Helper()
	snapshot, keepFrom := drawSnapshot(r, mustLoad(t, p.memory), p.last, p.term)
	if p.disk.SaveSnapshot(snapshot, keepFrom) != nil || p.memory.SaveSnapshot(snapshot, keepFrom) != nil {
		r.Fatal("SaveSnapshot failed")
	}
	p.snapshot, p.first, p.last = snapshot.Index, snapshot.Index+1, snapshot.Index
	log := mustLoad(t, p.memory).Entries
	if count := len(log); count > 0 {
		p.first, p.last = log[0].Index, log[count-1].Index
	}
}

func (p *storePair) reopenDisk(r *rapid.T) {
	if err := p.disk.Close(); err != nil {
		r.Fatal(err)
	}
	disk, err := Open(p.folder)
	if err != nil {
		r.Fatal(err)
	}
	p.disk = disk
}

// drawSnapshot draws a snapshot, which is either the member's own, so that it matches the
// log, or one sent by a leader. It also draws the index of the first entry to retain.
func drawSnapshot(r *rapid.T, stored State, last, term uint64) (consensus.Snapshot, uint64) {
	index := rapid.Uint64Range(stored.Snapshot.Index+1, max(last, stored.Snapshot.Index)+3).Draw(r, "index")
	snapshot := consensus.Snapshot{Index: index, Term: term, Data: []byte("table")}
	for _, entry := range stored.Entries {
		if entry.Index == index && rapid.Bool().Draw(r, "own") {
			snapshot.Term = entry.Term
		}
	}
	return snapshot, rapid.Uint64Range(1, index+1).Draw(r, "keepFrom")
}

// TestCorruptRecordIsReported corrupts each kind of record and expects Load to report its
// bucket and index.
func TestCorruptRecordIsReported(t *testing.T) {
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
	shorten := func(record []byte) []byte { return record[:3] }
	drop := func([]byte) []byte { return nil }
	cases := []struct {
		name   string
		change func(*bolt.Tx) error
		bucket string
		index  uint64
	}{
		{"identity", damage(metaBucket, identityKey, flip), "meta", 0},
		{"identity missing", damage(metaBucket, identityKey, drop), "meta", 0},
		{"cluster", damage(metaBucket, clusterKey, flip), "meta", 0},
		{"hard state", damage(stateBucket, hardStateKey, flip), "state", 0},
		{"snapshot", damage(snapshotBucket, currentKey, flip), "snapshot", 4},
		{"middle entry", damage(logBucket, indexKey(7), flip), "log", 7},
		{"short entry", damage(logBucket, indexKey(7), shorten), "log", 7},
		{"middle entry missing", damage(logBucket, indexKey(7), drop), "log", 7},
		{"first entry missing", damage(logBucket, indexKey(5), drop), "log", 5},
		{"last entry missing", damage(logBucket, indexKey(9), drop), "log", 9},
		{"entry under another key", func(tx *bolt.Tx) error {
			log := tx.Bucket(logBucket)
			return log.Put(indexKey(7), append([]byte(nil), log.Get(indexKey(8))...))
		}, "log", 7},
		{"snapshot missing", damage(snapshotBucket, currentKey, drop), "log", 1},
		{"committed entries missing", func(tx *bolt.Tx) error {
			return errors.Join(truncateFrom(tx.Bucket(logBucket), 6), saveLogBounds(tx))
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
				t.Fatalf("Load returned %v, want a corrupt record in %s at index %d", err, test.bucket, test.index)
			}
		})
	}
}

// TestTornWriteIsUndone overwrites a part of the newest meta page, as a power loss during
// the last write would, and expects the state before that write.
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

// tearNewestMeta overwrites a part of the meta page of the last transaction with zeros.
func tearNewestMeta(t *testing.T, path string, pageSize int64) {
	t.Helper()
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	const transactionOffset = 16 + 48 // size of the page header, plus offset of the transaction ID in the meta page
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

// TestWriteErrorOnFullDiskIsFinal limits the size of the file, so that a write fails, and
// expects the same error from every later call, even after space is available again.
func TestWriteErrorOnFullDiskIsFinal(t *testing.T) {
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
		t.Fatalf("Save returned %v, want a *FinalError", err)
	}
	if err := disk.Save(nil, entries(4, 4, 1)); !errors.Is(err, final) {
		t.Fatalf("Save after the failure returned %v, want the same error", err)
	}
	if _, err := disk.Load(); !errors.Is(err, final) {
		t.Fatalf("Load after the failure returned %v, want the same error", err)
	}
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(before, mustLoad(t, mustOpen(t, folder))); difference != "" {
		t.Fatal(difference)
	}
}

// TestSnapshotReplacesLongLog saves a snapshot whose index is after the end of a log of
// many pages, as on a member that was down for a long time.
func TestSnapshotReplacesLongLog(t *testing.T) {
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
		t.Fatalf("loaded a snapshot at index %d and %d entries, want index 7000 and only entry 7001", loaded.Snapshot.Index, len(loaded.Entries))
	}
}

// TestLongLogIsShortenedAtBothEnds overwrites the end of a log of many pages and then
// compacts its beginning.
func TestLongLogIsShortenedAtBothEnds(t *testing.T) {
	const length, overwriteFrom, keepFrom = 4096, 3000, 1500
	disk, err := Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer disk.Close()
	var entries []consensus.Entry
	for index := uint64(1); index <= length; index++ {
		entries = append(entries, consensus.Entry{Index: index, Term: 1, Kind: consensus.EntryNormal, Data: make([]byte, 128)})
	}
	overwriting := []consensus.Entry{{Index: overwriteFrom, Term: 2, Kind: consensus.EntryNormal}}
	for _, batch := range [][]consensus.Entry{entries, overwriting} {
		if err := disk.Save(nil, batch); err != nil {
			t.Fatal(err)
		}
	}
	if err := disk.SaveSnapshot(consensus.Snapshot{Index: overwriteFrom - 1, Term: 1}, keepFrom); err != nil {
		t.Fatal(err)
	}
	loaded, err := disk.Load()
	if err != nil {
		t.Fatal(err)
	}
	log := loaded.Entries
	if len(log) != overwriteFrom-keepFrom+1 || log[0].Index != keepFrom || log[len(log)-1].Term != 2 {
		t.Errorf("the log has %d entries from index %d, want %d from index %d and the entry of term 2 last", len(log), log[0].Index, overwriteFrom-keepFrom+1, keepFrom)
	}
}

func TestMemoryCrashesAroundAWrite(t *testing.T) {
	cases := []struct {
		name  string
		after bool
		want  int // number of entries after the crash
	}{
		{"before the write", false, 1},
		{"after the write", true, 2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) { checkMemoryCrash(t, test.after, test.want) })
	}
}

// checkMemoryCrash schedules a power loss at the second write and checks the number of
// entries that are left.
func checkMemoryCrash(t *testing.T, after bool, want int) {
	t.Helper()
	memory := NewMemory("disk")
	memory.ScheduleCrash(CrashPlan{Write: 2, AfterWrite: after})
	if err := memory.Save(nil, entries(1, 1, 1)); err != nil {
		t.Fatal(err)
	}
	if err := memory.Save(nil, entries(2, 2, 1)); !errors.Is(err, ErrCrash) {
		t.Fatalf("the write with the scheduled crash returned %v, want ErrCrash", err)
	}
	if err := memory.Save(nil, entries(3, 3, 1)); !errors.Is(err, ErrCrash) {
		t.Fatalf("a write after the crash returned %v, want ErrCrash", err)
	}
	memory.Reopen()
	if got := len(mustLoad(t, memory).Entries); got != want {
		t.Fatalf("%d entries are left after the crash, want %d", got, want)
	}
	memory.Wipe("new disk")
	if loaded := mustLoad(t, memory); loaded.Identity != "new disk" || len(loaded.Entries) != 0 {
		t.Fatalf("the wiped store has %+v, want the new identity and no entries", loaded)
	}
}
