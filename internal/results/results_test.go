package results

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/deckpulley/deckpulley/internal/checker"
)

func exampleRecords() []Record {
	report := checker.Report{Verdicts: []checker.Verdict{
		{Promise: "P1", Title: "once", Examined: 7, Bound: &checker.Bound{Worst: 1, Allowed: 1, Unit: "executions"}},
		{Promise: "P2", Title: "never", Examined: 3, Violations: []checker.Violation{{Summary: "one | ran"}, {Summary: "two"}, {Summary: "three"}, {Summary: "four"}}},
		{Promise: "P3", Title: "whole"},
	}}
	faults := Record{
		Kind: KindFaults, Deployment: "kodovka", Command: "make faults", Build: Build{Commit: "abc", Modified: true},
		Machine: Machine{Processors: 12, MemoryBytes: 3 << 30, LoadBefore: 0.5}, Began: time.Unix(0, 0).UTC(), Seconds: 61,
		Promises:  Promises(report, map[checker.Promise][]string{"P1": {"calm", "storm"}}),
		Scenarios: []Scenario{{Name: "storm", Requests: 10, Succeeded: 0.5, Problems: []string{"no primary"}, Unexercised: []string{"P3"}}},
	}
	planted := Record{Kind: KindPlanted, Deployment: "kodovka", Command: "make faults-planted", Defects: []Defect{
		{Name: "seen", Promise: "P1", Reported: []string{"P1"}, Caught: true, Verdict: "caught"},
		{Name: "unseen", Scenario: "storm", Promise: "P2", Verdict: "not caught"},
	}}
	return []Record{faults, planted}
}

// TestPageListsShortfallsFirst checks that all shortfalls, and no results that are as
// expected, are listed before the first table.
func TestPageListsShortfallsFirst(t *testing.T) {
	page := Page(exampleRecords())
	before, after, found := strings.Cut(page, "## Runs")
	if !found {
		t.Fatal("the page has no table of runs")
	}
	for _, want := range []string{
		"P2 (never) broken, 4 violations: one | ran; two; three\n", "P3 (whole) not exercised", "scenario storm: no primary",
		"scenario storm left P3 unexercised", "defect unseen in storm: not caught; reported broken: –",
	} {
		if !strings.Contains(before, want) {
			t.Errorf("shortfall %q is not listed:\n%s", want, before)
		}
	}
	if strings.Contains(before, "P1") || strings.Contains(before, "Nothing") || strings.Contains(before, "defect seen") {
		t.Errorf("results without shortfalls are listed as shortfalls:\n%s", before)
	}
	for _, want := range []string{
		"| `make faults` | abc, with changes | 1970-01-01 00:00:00 UTC | 61 s | 12 | 3.0 GiB | 0.5 |",
		"| P1 | once | kept | 7 | 0 | 1 | 1 executions | calm, storm |",
		"| storm | bad | 10 | 50.00% | 0 | – | P3 |",
		"| seen |  | 0 | P1 | – | P1 | caught |  |",
	} {
		if !strings.Contains(after, want+"\n") {
			t.Errorf("row %q is missing:\n%s", want, after)
		}
	}
	if complete := Page([]Record{{Kind: KindFaults, Promises: exampleRecords()[0].Promises[:1]}}); !strings.Contains(complete, "Nothing in the runs below.") {
		t.Errorf("shortfalls are listed for a run without any:\n%s", complete)
	}
}

func TestSavedRecordsAreLoadedUnchanged(t *testing.T) {
	path := filepath.Join(t.TempDir(), "new", "record.json")
	for _, record := range exampleRecords() {
		if err := Save(path, record); err != nil {
			t.Fatal(err)
		}
		loaded, err := Load(path)
		if err != nil {
			t.Fatal(err)
		}
		if difference := cmp.Diff(record, loaded); difference != "" {
			t.Error(difference)
		}
	}
}
