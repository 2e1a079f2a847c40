package catalog

import (
	"slices"
	"testing"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/internal/scenario"
	"github.com/deckpulley/deckpulley/scenarios"
)

// TestCasesAreComplete checks that every defect has exactly one case, that every promise
// is broken by at least one defect, and that the scenario of every case is meant to
// exercise its promise.
func TestCasesAreComplete(t *testing.T) {
	files, err := scenario.LoadAll(scenarios.Planted())
	if err != nil {
		t.Fatal(err)
	}
	promises := map[string]bool{}
	byName := map[string][]string{}
	for _, file := range files {
		byName[file.Name] = file.Promises
	}
	var defects []planted.Defect
	for _, of := range Cases() {
		defects = append(defects, of.Defect)
		promises[string(of.Promise)] = true
		if !slices.Contains(byName[of.Scenario], string(of.Promise)) {
			t.Errorf("%s: scenario %s does not list promise %s", of.Defect, of.Scenario, of.Promise)
		}
		if (len(of.Also) > 0) != (of.Because != "") {
			t.Errorf("%s: Also and Because must be set together", of.Defect)
		}
	}
	for _, verdict := range checker.Check(nil, checker.Options{}).Verdicts {
		if !promises[string(verdict.Promise)] {
			t.Errorf("no case has a defect that breaks %s", verdict.Promise)
		}
	}
	slices.Sort(defects)
	all := planted.All()
	slices.Sort(all)
	if !slices.Equal(defects, all) {
		t.Errorf("cases exist for the defects %v, want all of %v", defects, all)
	}
}

func TestJudge(t *testing.T) {
	of := Case{Defect: planted.StepBack, Promise: "P6", Also: []checker.Promise{"P5"}}
	for _, test := range []struct {
		broken []checker.Promise
		caught bool
	}{
		{nil, false},
		{[]checker.Promise{"P6"}, true},
		{[]checker.Promise{"P5", "P6"}, true},
		{[]checker.Promise{"P5"}, false},
		{[]checker.Promise{"P6", "P17"}, false},
	} {
		report := checker.Report{Verdicts: []checker.Verdict{{Promise: "P1", Examined: 3}}}
		for _, promise := range test.broken {
			report.Verdicts = append(report.Verdicts, checker.Verdict{Promise: promise, Violations: make([]checker.Violation, 1)})
		}
		broken, caught := of.Judge(report)
		if caught != test.caught || !slices.Equal(broken, test.broken) {
			t.Errorf("%v: broken %v, caught %t", test.broken, broken, caught)
		}
		if _, clean := (Case{}).Judge(report); clean != (len(test.broken) == 0) {
			t.Errorf("%v: control case matches: %t", test.broken, clean)
		}
	}
}
