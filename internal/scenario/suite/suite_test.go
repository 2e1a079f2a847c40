package suite

import (
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/planted/catalog"
	"github.com/deckpulley/deckpulley/internal/scenario"
)

func TestForEachCallsEveryIndexWithinTheLimit(t *testing.T) {
	const parallel, count = 3, 20
	var running, most atomic.Int64
	var calls [count]atomic.Int64
	forEach(parallel, count, func(index int) {
		now := running.Add(1)
		for seen := most.Load(); now > seen && !most.CompareAndSwap(seen, now); seen = most.Load() {
		}
		time.Sleep(time.Millisecond)
		calls[index].Add(1)
		running.Add(-1)
	})
	for index := range calls {
		if got := calls[index].Load(); got != 1 {
			t.Errorf("index %d was called %d times, want once", index, got)
		}
	}
	if most.Load() > parallel {
		t.Errorf("%d concurrent calls, above the limit", most.Load())
	}
}

func TestSelectionLoadsTheLongestFirst(t *testing.T) {
	selected, err := Selection{Short: true}.Load()
	if err != nil {
		t.Fatal(err)
	}
	for i, chosen := range selected {
		if !chosen.Short {
			t.Errorf("%s is not in the short suite", chosen.Name)
		}
		if i > 0 && chosen.Length() > selected[i-1].Length() {
			t.Errorf("%s is longer than %s before it", chosen.Name, selected[i-1].Name)
		}
	}
	if len(selected) == 0 {
		t.Error("the short suite is empty")
	}
}

func TestSelectionRejectsUnknownNames(t *testing.T) {
	_, err := Selection{Names: []string{"gateway-killed", "no-such-scenario"}}.Load()
	if err == nil || !strings.Contains(err.Error(), `"no-such-scenario"`) {
		t.Errorf("error %v, want one that quotes the unknown name", err)
	}
}

// exampleOutcome returns the outcome of a scenario that must exercise P1 and whose run reported the
// given verdicts.
func exampleOutcome(name string, verdicts ...checker.Verdict) outcome {
	run := &scenario.Scenario{Name: name, Promises: []string{"P1"}}
	return outcome{scenario: run, result: &scenario.Result{Scenario: run, Report: checker.Report{Verdicts: verdicts}}}
}

func TestFaultsCheckNamesTheReason(t *testing.T) {
	kept := checker.Verdict{Promise: "P1", Examined: 1}
	broken := checker.Verdict{Promise: "P1", Examined: 1, Violations: []checker.Violation{{Summary: "twice"}}}
	idle := checker.Verdict{Promise: "P2"}
	tests := []struct {
		name    string
		outcome outcome
		partial bool
		reason  string // empty if the run is good
	}{
		{"every promise kept", exampleOutcome("calm", kept), false, ""},
		{"a broken promise", exampleOutcome("storm", broken), true, "storm: broken P1, not exercised -, 0 problems"},
		{"an unexercised promise of the scenario", exampleOutcome("storm", idle), true, "storm: broken -, not exercised P1, 0 problems"},
		{"an unexercised promise of a partial run", exampleOutcome("calm", kept, idle), true, ""},
		{"an unexercised promise of a complete run", exampleOutcome("calm", kept, idle), false, "not exercised: [P2]"},
		{"a run that was not completed", outcome{scenario: &scenario.Scenario{Name: "storm"}, err: errors.New("no port\nlog")}, true, "storm: no port"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			faults := &Faults{outcomes: []outcome{test.outcome}}
			faults.merge()
			err := faults.Check(test.partial)
			if test.reason == "" {
				if err != nil {
					t.Errorf("error %v, want none", err)
				}
				return
			}
			if !errors.Is(err, ErrBroken) || !strings.HasSuffix(err.Error(), ": "+test.reason) {
				t.Errorf("error %v, want reason %q", err, test.reason)
			}
		})
	}
}

func TestSelectCasesRunsEachDefectOnce(t *testing.T) {
	name := string(catalog.Cases()[0].Defect)
	selected, err := SelectCases([]string{name, name})
	if err != nil || len(selected) != 1 || string(selected[0].Defect) != name {
		t.Errorf("selected %+v, error %v; want the named defect once", selected, err)
	}
	all, err := SelectCases(nil)
	if err != nil || len(all) != len(catalog.Cases())+len(catalog.Controls()) {
		t.Errorf("without names, selected %d cases, error %v; want all cases and control runs", len(all), err)
	}
	if _, err := SelectCases([]string{"no-such-defect"}); err == nil {
		t.Error("selecting an unknown defect returned no error")
	}
}

func TestPlantedCheckFailsIfADefectIsNotCaught(t *testing.T) {
	defect := catalog.Cases()[0]
	tests := []struct {
		name    string
		outcome caseOutcome
		verdict string
		fails   bool
	}{
		{"caught", caseOutcome{expected: defect, caught: true}, "caught", false},
		{"not caught", caseOutcome{expected: defect}, "not caught", true},
		{"control run", caseOutcome{caught: true}, "clean", false},
		{"control run with a violation", caseOutcome{}, "not clean", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.outcome.verdict(); got != test.verdict {
				t.Errorf("verdict %q", got)
			}
			err := (&Planted{outcomes: []caseOutcome{test.outcome}}).Check()
			if errors.Is(err, ErrBroken) != test.fails {
				t.Errorf("error %v", err)
			}
		})
	}
}
