package results

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var updateGolden = flag.Bool("update-golden", false, "rewrite the golden files instead of comparing with them")

// goldenPage is the path of the page that an earlier version rendered from the golden
// records.
const goldenPage = "testdata/page.golden.md"

// goldenRecord returns the path of a record that an earlier version stored.
func goldenRecord(kind Kind) string { return filepath.Join("testdata", string(kind)+".golden.json") }

// goldenRecords returns a record of each kind. Together they set every field.
func goldenRecords() []Record {
	began := time.Date(2026, time.December, 2, 5, 34, 4, 0, time.UTC)
	build := Build{Commit: "ef61f4d", Modified: true}
	machine := Machine{Processors: 12, MemoryBytes: 3 << 30, LoadBefore: 11.6}
	return []Record{
		{
			Kind: KindFaults, Deployment: "kodovka", Command: "make faults | tee log", Build: build, Machine: machine,
			Began: began, Seconds: 342.25, Partial: true,
			Scenarios: []Scenario{
				{Name: "calm", Good: true, Requests: 2049, Succeeded: 1, Seconds: 36},
				{
					Name: "storm", Requests: 983, Succeeded: 0.785, Seconds: 19.5, Broken: []string{"P1", "P2"},
					Unexercised: []string{"P3"}, Problems: []string{"no primary\nfor 30 s"},
				},
			},
			Promises: []Promise{
				{Name: "P1", Title: "once", Status: "kept", Scenarios: []string{"calm", "storm"}, Examined: 7, Worst: 1, Allowed: 1, Unit: "executions"},
				{Name: "P2", Title: "never", Status: "broken", Scenarios: []string{"storm"}, Examined: 3, Violations: 4, First: []string{"one | ran", "two"}},
				{Name: "P3", Title: "complete", Status: "not exercised"},
			},
		},
		{
			Kind: KindPlanted, Deployment: "georgia", Command: "make faults-planted", Build: Build{Commit: "ef61f4d"}, Machine: Machine{Processors: 4},
			Began: began, Seconds: 293,
			Defects: []Defect{
				{
					Name: "step-back", Scenario: "storm", Seconds: 11, Promise: "P6", Also: []string{"P5"}, Because: "it is both",
					Reported: []string{"P5", "P6"}, Caught: true, Verdict: "caught", First: "version 1 after 2",
				},
				{Name: "join-runs", Scenario: "calm", Seconds: 9, Promise: "P4", Verdict: "not caught"},
			},
		},
	}
}

// TestGoldenRecords checks that records stored by an earlier version are read, and that
// the same records are stored with the same bytes.
func TestGoldenRecords(t *testing.T) {
	for _, record := range goldenRecords() {
		t.Run(string(record.Kind), func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "record.json")
			if err := Save(path, record); err != nil {
				t.Fatal(err)
			}
			stored, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			compareWithGolden(t, goldenRecord(record.Kind), stored)
			loaded, err := Load(goldenRecord(record.Kind))
			if err != nil {
				t.Fatal(err)
			}
			if difference := cmp.Diff(record, loaded); difference != "" {
				t.Error(difference)
			}
		})
	}
}

// TestGoldenPage checks that the page is rendered exactly as by an earlier version.
func TestGoldenPage(t *testing.T) {
	compareWithGolden(t, goldenPage, []byte(Page(goldenRecords())))
}

func compareWithGolden(t *testing.T, path string, got []byte) {
	t.Helper()
	if *updateGolden {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs:\n%s", path, cmp.Diff(string(want), string(got)))
	}
}
