package report

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// exampleRun returns the events of a short run with one configuration, one evacuation and
// three requests.
func exampleRun() []eventlog.Event {
	at := func(milliseconds int, event eventlog.Event) eventlog.Event {
		event.At = int64(milliseconds+1000) * int64(time.Millisecond)
		return event
	}
	asked := func(id, region string) eventlog.Event {
		return eventlog.Event{Kind: eventlog.CallerRouted, Request: id, Class: "quick", Region: region, PromptTokens: 100}
	}
	answered := func(id, outcome string) eventlog.Event {
		return eventlog.Event{Kind: eventlog.CallerAnswered, Request: id, Class: "quick", Outcome: outcome, Code: "code", FirstTokenMS: 40, ElapsedMS: 90, CachedTokens: 25}
	}
	return []eventlog.Event{
		at(0, eventlog.Event{Kind: eventlog.Inventory, Replica: "south-replica", Region: "south", Zone: "south-1"}),
		at(1, asked("one", "south")),
		at(2, eventlog.Event{Kind: eventlog.ReplicaReceived, Replica: "south-replica", Request: "one", Attempt: 1, Version: 1}),
		at(2, eventlog.Event{Kind: eventlog.ReplicaExecuted, Replica: "south-replica", Region: "south", Request: "one", Version: 1}),
		at(50, eventlog.Event{Kind: eventlog.OperationSent, Operation: "order", Detail: checker.DetailConfiguration}),
		at(60, eventlog.Event{Kind: eventlog.OperationSent, Operation: "empty", Detail: checker.DetailEvacuate, Zone: "south-1"}),
		at(91, answered("one", OutcomeSuccess)),
		at(100, asked("two", "north")),
		at(110, eventlog.Event{Kind: eventlog.ReplicaReceived, Replica: "south-replica", Request: "two", Attempt: 2, Version: 1}),
		at(110, eventlog.Event{Kind: eventlog.ReplicaExecuted, Replica: "south-replica", Region: "south", Request: "two", Version: 1}),
		at(150, eventlog.Event{Kind: eventlog.OperationAnswered, Operation: "order", Detail: checker.DetailConfiguration, Outcome: checker.OperationAccepted, Version: 2}),
		at(160, eventlog.Event{Kind: eventlog.OperationAnswered, Operation: "empty", Detail: checker.DetailEvacuate, Outcome: checker.OperationAccepted, Version: 2}),
		at(190, answered("two", OutcomeSuccess)),
		at(1200, asked("three", "north")),
		at(1300, answered("three", OutcomeRefused)),
	}
}

func TestSummaryCountsAndMeasuresOperations(t *testing.T) {
	s := Summarize(exampleRun())
	if got := s.SuccessRatio(); got < 0.66 || got > 0.67 {
		t.Errorf("success ratio is %v, want two thirds", got)
	}
	if s.CrossRegion != 1 || s.FirstAttempts != 1 || s.Retries != 1 || s.CachedTokens != 50 || s.PromptTokens != 200 {
		t.Errorf("cross-region %d, first attempts %d, retries %d, cached %d of %d", s.CrossRegion, s.FirstAttempts, s.Retries, s.CachedTokens, s.PromptTokens)
	}
	if len(s.Operations) != 2 || s.Operations[0].LastWithout != 60*time.Millisecond || s.Operations[0].Acknowledged != 100*time.Millisecond {
		t.Errorf("wrong times until the configuration was in effect: %+v", s.Operations)
	}
	if s.Operations[1].LastWithout != 50*time.Millisecond {
		t.Errorf("wrong times until the evacuation was in effect: %+v", s.Operations[1])
	}
	if got := len(s.timeline()); got != 2 {
		t.Errorf("timeline has %d seconds, want 2", got)
	}
}

func TestPageHasVerdictsChartsAndNoLinks(t *testing.T) {
	events := exampleRun()
	var page bytes.Buffer
	report := checker.Check(events, checker.Options{SlowStartLimit: 1, Gateways: 8})
	err := WritePage(&page, Page{Title: "run <1>", Summary: Summarize(events), Report: report, Problems: []string{"a step"}})
	if err != nil {
		t.Fatal(err)
	}
	text := page.String()
	for _, want := range []string{"run &lt;1&gt;", "<svg", "not exercised", "P18", "a step", "order acknowledged", "prefix hit rate"} {
		if want == "order acknowledged" {
			want = "configuration acknowledged (order)"
		}
		if !strings.Contains(text, want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
	for _, link := range []string{"http://", "https://", "<script"} {
		if strings.Contains(text, link) {
			t.Errorf("the page must not contain %q", link)
		}
	}
}

func TestVerdictsListEvidence(t *testing.T) {
	events := append(exampleRun(), eventlog.Event{At: 3e9, Kind: eventlog.ReplicaExecuted, Request: "three", Replica: "south-replica", Version: 1})
	var out bytes.Buffer
	if err := WriteVerdicts(&out, checker.Check(events, checker.Options{}), map[checker.Promise][]string{"P2": {"a-scenario"}}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"request three was refused (code) and ran", `"kind":"replica_executed"`, "a-scenario"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the text does not contain %q:\n%s", want, out.String())
		}
	}
}
