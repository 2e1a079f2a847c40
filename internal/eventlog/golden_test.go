package eventlog

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
)

var updateGolden = flag.Bool("update-golden", false, "rewrite the golden file instead of comparing with it")

// goldenFile is the path of a log that an earlier version wrote.
const goldenFile = "testdata/golden.jsonl"

// goldenKinds lists all kinds, in the order of the golden log.
var goldenKinds = []Kind{
	ReplicaStarted, ReplicaReceived, ReplicaExecuted, ReplicaRefused, ReplicaEnded, ReplicaDraining, ReplicaWarm, ReplicaFault,
	CallerRouted, CallerSent, CallerChunk, CallerAnswered, CallerAbandoned,
	OperationSent, OperationAnswered, PlatformDrain, FaultInjected, FleetReady, Note,
	ConfigurationRead, ZonesRead, Inventory,
}

// goldenEvents returns an event with every field set, followed by one event of each kind
// with only the fields that all events have.
func goldenEvents() []Event {
	events := []Event{{
		At: 1_000_000_001, Kind: CallerAnswered, Source: "caller-1", Request: "request-1", Run: "run-1", Sequence: 3,
		Attempt: 2, Replica: "replica-1", Region: "north", Zone: "north-1", Gateway: "gateway-1", Incarnation: "i-3",
		Version: 12, Serial: 40, Class: "quick", Service: "explain", Home: "north-only",
		HomeRegions: []string{"north", "south"}, Repeatable: true, Stream: true, Operation: "order-9", Base: 11,
		Outcome: "success", Code: "duplicate", Tokens: 5, CachedTokens: 1200, PromptTokens: 40, Cold: true, InFlight: 7,
		FirstTokenMS: 41.5, ElapsedMS: 120.25, MaxGapMS: 9.75, Target: "control-1", Detail: "one <two> & \"three\"",
	}}
	for i, kind := range goldenKinds {
		events = append(events, Event{At: 2_000_000_000 + int64(i), Kind: kind, Source: "stand-in"})
	}
	return events
}

// TestGoldenLog checks that a log written by an earlier version is read, and that the
// same events are written with the same bytes.
func TestGoldenLog(t *testing.T) {
	events := goldenEvents()
	for i, first := 0, reflect.ValueOf(events[0]); i < first.NumField(); i++ {
		if first.Field(i).IsZero() {
			t.Errorf("field %s is not set in the first event", first.Type().Field(i).Name)
		}
	}
	written := writeLog(t, events)
	if *updateGolden {
		if err := os.MkdirAll(filepath.Dir(goldenFile), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(goldenFile, written, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(written, stored) {
		t.Errorf("wrote\n%swant\n%s", written, stored)
	}
	read, err := ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, events) {
		t.Errorf("read\n%+v\nwant\n%+v", read, events)
	}
}

// writeLog returns the bytes of a log with the events.
func writeLog(t *testing.T, events []Event) []byte {
	t.Helper()
	path := filepath.Join(t.TempDir(), "events.jsonl")
	writer, err := Open(path, "unused")
	if err != nil {
		t.Fatal(err)
	}
	for _, event := range events {
		writer.Write(event)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
