package benchmark

import (
	"bytes"
	"context"
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
)

// workerVariable is the environment variable that makes the test binary run as a worker.
// Its value is the kind of the worker.
const workerVariable = "DECKPULLEY_BENCHMARK_WORKER"

// TestMain lets the test binary also serve as the worker process of a benchmark.
func TestMain(m *testing.M) {
	if kind := os.Getenv(workerVariable); kind != "" {
		if err := RunWorker(kind, os.Stdin, os.Stdout); err != nil {
			os.Stderr.WriteString(err.Error() + "\n")
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

func testOptions(t *testing.T) *Options {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	o := &Options{Short: true, Worker: func(kind string) *exec.Cmd {
		command := exec.Command(program)
		command.Env = append(os.Environ(), workerVariable+"="+kind)
		return command
	}}
	o.withDefaults()
	return o
}

func TestReplaceSection(t *testing.T) {
	const page = "intro\n<!-- begin one -->\nold\n<!-- end one -->\nkept\n<!-- begin two -->\nother\n<!-- end two -->\n"
	got, err := replaceSection([]byte(page), "one", []byte("new\n"))
	if want := strings.Replace(page, "old", "new", 1); err != nil || string(got) != want {
		t.Errorf("page is %q, error %v, want %q", got, err, want)
	}
	for _, broken := range []string{"", "<!-- begin one -->\n", "<!-- end one -->", "<!-- begin three -->\n<!-- end one -->"} {
		if _, err := replaceSection([]byte(broken), "one", nil); !errors.Is(err, errNoMarkers) {
			t.Errorf("replaceSection on the page %q: got error %v, want errNoMarkers", broken, err)
		}
	}
}

func TestMarkdown(t *testing.T) {
	table := Table{Title: "Title", Note: "Note.", Columns: []string{"a", "b"}}
	table.add("1", "2")
	var got bytes.Buffer
	if err := WriteTables(&got, []Table{table}); err != nil {
		t.Fatal(err)
	}
	const want = "\n### Title\n\nNote.\n\n| a | b |\n| ---: | ---: |\n| 1 | 2 |\n"
	if got.String() != want {
		t.Errorf("got %q, want %q", got.String(), want)
	}
}

// TestAddedLatencies checks that the latencies do not include the time that the replica
// itself took, and that a stream with a lost event counts as a failure.
func TestAddedLatencies(t *testing.T) {
	start := time.Now()
	after := func(lengths ...int) (moments []time.Time) {
		for _, length := range lengths {
			moments = append(moments, start.Add(time.Duration(length)*time.Millisecond))
		}
		return moments
	}
	observer := newObserver()
	observer.record("whole", replicaTimes{started: after(2)[0], written: after(12, 24, 36)})
	observer.record("short", replicaTimes{started: after(2)[0], written: after(12, 24)})
	p := &path{observer: observer, requests: map[string]callerTimes{"whole": {sent: start, read: after(15, 28, 41)}}}
	got := p.latencies()
	if p.failures != nil {
		t.Fatal(p.failures)
	}
	for name, check := range map[string][2]time.Duration{
		"first":   {got.first.longest(), 5 * time.Millisecond},
		"total":   {got.total.longest(), 7 * time.Millisecond},
		"event":   {got.event.longest(), 5 * time.Millisecond},
		"fastest": {got.event.percentile(0), 3 * time.Millisecond},
	} {
		if difference := (check[0] - check[1]).Abs(); difference > 10*time.Microsecond {
			t.Errorf("%s: latency is %v, want %v", name, check[0], check[1])
		}
	}
	p.requests["short"] = callerTimes{sent: start, read: after(15)}
	if p.latencies(); p.failures == nil {
		t.Error("a stream with a lost event is not recorded as a failure")
	}
}

// TestCountedUpdatesAreInTable checks the group that all measurements of control nodes use:
// every update that is counted as applied is in the table, also after a crash of the
// primary.
func TestCountedUpdatesAreInTable(t *testing.T) {
	// On a busy machine a leader may pause for longer than the default election timeout.
	// The outcome of an update in flight is then unknown, and the test would fail although
	// it only concerns updates that were counted.
	const electionTimeout = 4 * time.Second
	o := testOptions(t)
	g, err := newGroupWithElectionTimeout(3, shortSnapshotInterval, electionTimeout, o.Logger)
	if err != nil {
		t.Fatal(err)
	}
	defer g.close()
	const count = 200
	before := g.sent.Load()
	run, err := g.runUpdates(8, awaitTimeout, count)
	if err != nil || run.latencies.count() != count || g.sent.Load() != before+count {
		t.Fatalf("%d updates counted, %d sent, error %v; want %d of each", run.latencies.count(), g.sent.Load()-before, err, count)
	}
	old, _, serial, err := g.replacePrimary()
	if err != nil {
		t.Fatal(err)
	}
	var expected []registry.Record
	for number := before + 1; number <= before+count; number++ {
		expected = append(expected, registry.Equals(updateRecord(number)))
	}
	check := peer.UpdateRequest{Update: registry.NewUpdate(catalog.Apex, expected, nil)}
	primary, err := g.primary()
	if err != nil {
		t.Fatal(err)
	}
	var reply peer.UpdateReply
	if err := g.client.Call(t.Context(), primary.address, peer.KindUpdate, &check, &reply); err != nil || reply.Code != registry.NoError {
		t.Errorf("not all updates are in the table of the new primary: code %v, error %v", reply.Code, err)
	}
	if err := old.start(); err != nil {
		t.Fatal(err)
	}
	if err := old.awaitSerial(serial); err != nil {
		t.Error(err)
	}
}

// TestSiteRelaysRequests checks that the gateway relays complete responses and streams,
// and that a measured run includes the CPU time and allocations of its process.
func TestSiteRelaysRequests(t *testing.T) {
	o := testOptions(t)
	s, err := newSite(o, nil, "")
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := s.close(); err != nil {
			t.Error(err)
		}
	}()
	ctx := t.Context()
	read, err := s.caller.stream(ctx, api.PathRequests, gatewayRequest("stream", modelName, true, 5), true)
	if err != nil || len(read) != 6 {
		t.Errorf("stream has %d events, want 5 chunks and the end: error %v", len(read), err)
	}
	if err := s.caller.sendWithTicket(ctx, gatewayRequest("ticketed", webName, false, 1)); err != nil {
		t.Error(err)
	}
	run := runClosedLoop(s.gateway, 4, 200*time.Millisecond, func(ctx context.Context, id string) error {
		return s.caller.send(ctx, api.PathRequests, gatewayRequest(id, webName, false, 1))
	})
	if run.units == 0 || run.failures != 0 || run.processor <= 0 || run.allocations < run.units {
		t.Errorf("run without answers or costs, or with failures: %+v", run)
	}
}
