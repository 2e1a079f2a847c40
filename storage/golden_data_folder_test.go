package storage

import (
	"bytes"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"

	"github.com/deckpulley/deckpulley/consensus"
)

var updateGolden = flag.Bool("update-golden", false, "regenerate the golden files from the current code")

// The golden data folder was written by an earlier release. A node of this release must be
// able to start with it, and must write records that the earlier release can read.
var (
	goldenDataFolder = filepath.Join("testdata", "data-folder")
	goldenRecords    = filepath.Join("testdata", "records.golden")
)

// goldenIdentity replaces the random identity of the store.
const goldenIdentity consensus.ID = "00112233445566778899aabbccddeeff"

func goldenMembership() consensus.Membership {
	return consensus.Membership{Members: []consensus.Member{
		{ID: goldenIdentity, Name: "control-1", Address: "10.0.0.1:7141", Zone: "north-hall1"},
		{ID: "102132435465768798a9bacbdcedfe0f", Name: "control-2", Address: "10.0.0.2:7141", Zone: "north-hall2"},
		{ID: "2031425364758697a8b9cadbecfd0e1f", Name: "control-3", Address: "10.0.0.3:7141", Zone: "south-hall1", Learner: true},
	}}
}

// goldenState is the content of the golden data folder.
func goldenState(t *testing.T) State {
	t.Helper()
	membership, err := cbor.Marshal(goldenMembership())
	if err != nil {
		t.Fatal(err)
	}
	return State{
		Identity:  goldenIdentity,
		Cluster:   "ffeeddccbbaa99887766554433221100",
		HardState: consensus.HardState{Term: 3, Vote: goldenIdentity, Commit: 7},
		Snapshot:  consensus.Snapshot{Index: 4, Term: 1, Membership: goldenMembership(), Data: []byte("state up to entry 4")},
		Entries: []consensus.Entry{
			{Term: 1, Index: 4, Kind: consensus.EntryNormal, Data: []byte("entry 4")},
			{Term: 2, Index: 5, Kind: consensus.EntryNoop},
			{Term: 2, Index: 6, Kind: consensus.EntryNormal, Data: []byte("entry 6")},
			{Term: 2, Index: 7, Kind: consensus.EntryMembership, Data: membership},
			{Term: 3, Index: 8, Kind: consensus.EntryNoop},
		},
	}
}

// TestGoldenDataFolder loads the data folder of an earlier release and writes its content to
// a new folder. Each record must have the same bytes.
func TestGoldenDataFolder(t *testing.T) {
	want := goldenState(t)
	if *updateGolden {
		writeGoldenDataFolder(t, want)
	}
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(goldenDataFolder)); err != nil {
		t.Fatal(err)
	}
	opened := mustOpen(t, folder)
	got, err := opened.Load()
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("loaded %+v, want %+v", got, want)
	}
	records := recordsText(t, opened)
	if wantRecords := readGoldenRecords(t); records != wantRecords {
		t.Errorf("the data folder has the records\n%s\nwant\n%s", records, wantRecords)
	}
	rewritten := mustOpen(t, t.TempDir())
	writeState(t, rewritten, want)
	if again := recordsText(t, rewritten); again != records {
		t.Errorf("after writing the state to a new folder, the records are\n%s\nwant\n%s", again, records)
	}
}

// TestGoldenDataFolderAcceptsWrites writes to the data folder of an earlier release, as a
// node does after an upgrade.
func TestGoldenDataFolderAcceptsWrites(t *testing.T) {
	want := goldenState(t)
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(goldenDataFolder)); err != nil {
		t.Fatal(err)
	}
	disk := mustOpen(t, folder)
	if err := disk.Save(&want.HardState, want.Entries[1:]); err != nil {
		t.Fatal(err)
	}
	if got, wantRecords := recordsText(t, disk), readGoldenRecords(t); got != wantRecords {
		t.Errorf("after saving the same entries again, the records are\n%s\nwant\n%s", got, wantRecords)
	}
	want.HardState = consensus.HardState{Term: 4, Commit: 9}
	added := consensus.Entry{Term: 4, Index: 9, Kind: consensus.EntryNormal, Data: []byte("entry 9")}
	want.Entries = append(want.Entries, added)
	if err := disk.Save(&want.HardState, []consensus.Entry{added}); err != nil {
		t.Fatal(err)
	}
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
	got, err := mustOpen(t, folder).Load()
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("loaded %+v, want %+v", got, want)
	}
}

// TestGoldenDataFolderCorruption corrupts each record of the golden data folder in turn and
// expects Load to report it.
func TestGoldenDataFolderCorruption(t *testing.T) {
	type location struct{ bucket, key []byte }
	locations := map[string]location{
		"format":     {metaBucket, formatKey},
		"identity":   {metaBucket, identityKey},
		"cluster":    {metaBucket, clusterKey},
		"hard state": {stateBucket, hardStateKey},
		"bounds":     {stateBucket, logBoundsKey},
		"snapshot":   {snapshotBucket, currentKey},
		"entry":      {logBucket, indexKey(6)},
	}
	for name, at := range locations {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			if err := os.CopyFS(folder, os.DirFS(goldenDataFolder)); err != nil {
				t.Fatal(err)
			}
			disk := mustOpen(t, folder)
			err := disk.database.Update(func(tx *bolt.Tx) error {
				record := bytes.Clone(tx.Bucket(at.bucket).Get(at.key))
				record[len(record)-1] ^= 1
				return tx.Bucket(at.bucket).Put(at.key, record)
			})
			if err != nil {
				t.Fatal(err)
			}
			var corrupt *CorruptError
			if _, err := disk.Load(); !errors.As(err, &corrupt) || corrupt.Bucket != string(at.bucket) {
				t.Errorf("Load returned %v, want a corrupt record in bucket %s", err, at.bucket)
			}
		})
	}
}

// writeState writes the content to an empty store. As in a node, the log first has all
// entries from index 1, and the snapshot then removes those before the content's entries.
func writeState(t *testing.T, disk *Disk, content State) {
	t.Helper()
	var compacted []consensus.Entry
	for index := uint64(1); index < content.Entries[0].Index; index++ {
		compacted = append(compacted, consensus.Entry{Term: 1, Index: index, Kind: consensus.EntryNormal, Data: []byte("compacted")})
	}
	err := errors.Join(
		disk.write("set identity", func(tx *bolt.Tx) error {
			return putRecord(tx.Bucket(metaBucket), identityKey, singletonIndex, content.Identity)
		}),
		disk.SetCluster(content.Cluster),
		disk.Save(nil, append(compacted, content.Entries...)),
		disk.SaveSnapshot(content.Snapshot, content.Entries[0].Index),
		disk.Save(&content.HardState, nil),
	)
	if err != nil {
		t.Fatal(err)
	}
}

// recordsText lists every record with its bucket, its key, its content in CBOR diagnostic
// notation and its bytes, in the order of the file.
func recordsText(t *testing.T, disk *Disk) string {
	t.Helper()
	var text strings.Builder
	err := disk.database.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(name []byte, bucket *bolt.Bucket) error {
			return bucket.ForEach(func(key, record []byte) error {
				shown := string(key)
				if bytes.Equal(name, logBucket) {
					shown = hex.EncodeToString(key)
				}
				diagnostic, err := cbor.Diagnose(record[checksumSize:])
				if err != nil {
					return err
				}
				fmt.Fprintf(&text, "%s %s\n# %s\n%x\n", name, shown, diagnostic, record)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return text.String()
}

func readGoldenRecords(t *testing.T) string {
	t.Helper()
	content, err := os.ReadFile(goldenRecords)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func writeGoldenDataFolder(t *testing.T, content State) {
	t.Helper()
	if err := os.RemoveAll(goldenDataFolder); err != nil {
		t.Fatal(err)
	}
	disk, err := Open(goldenDataFolder)
	if err != nil {
		t.Fatal(err)
	}
	writeState(t, disk, content)
	records := recordsText(t, disk)
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(goldenRecords, []byte(records), 0o600); err != nil {
		t.Fatal(err)
	}
}
