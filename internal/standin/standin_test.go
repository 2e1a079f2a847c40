package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/emulator"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// memoryLog is a Logger that stores its events in memory.
type memoryLog struct {
	mutex  sync.Mutex
	events []eventlog.Event
	added  chan struct{}
}

func newMemoryLog() *memoryLog {
	return &memoryLog{added: make(chan struct{}, 10_000)}
}

func (l *memoryLog) Write(event eventlog.Event) {
	l.mutex.Lock()
	l.events = append(l.events, event)
	l.mutex.Unlock()
	l.added <- struct{}{}
}

// find returns the events of a kind and request.
func (l *memoryLog) find(kind eventlog.Kind, request string) []eventlog.Event {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []eventlog.Event
	for _, event := range l.events {
		if event.Kind == kind && event.Request == request {
			found = append(found, event)
		}
	}
	return found
}

// await waits for the first event of a kind and request.
func (l *memoryLog) await(kind eventlog.Kind, request string) eventlog.Event {
	for {
		if found := l.find(kind, request); len(found) > 0 {
			return found[0]
		}
		<-l.added
	}
}

// startReplica serves a replica with fast steps until the test ends.
func startReplica(t *testing.T, change func(*emulator.Parameters)) (*Server, *memoryLog, string) {
	t.Helper()
	parameters := emulator.DefaultParameters(emulator.KindModel)
	parameters.DecodeStepMS = 1
	parameters.DecodeSequenceMS = 0
	if change != nil {
		change(&parameters)
	}
	log := newMemoryLog()
	server := NewServer(Config{ID: "replica", Service: "coder", Zone: "a", Parameters: parameters, Seed: 1, Log: log})
	listener := httptest.NewServer(server)
	t.Cleanup(func() {
		server.Close()
		listener.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return server, log, listener.URL
}

func request(id string, stream bool, tokens int) api.ReplicaRequest {
	return api.ReplicaRequest{
		RequestID: id, Model: "m", Class: api.ClassQuick, PromptTokens: 1, MaxTokens: tokens, Stream: stream,
		TimeLeftMS: 1000, Stamp: api.Stamp{ConfigurationVersion: 5, Serial: 9, Gateway: "g", Incarnation: "i", Attempt: 1},
	}
}

func post(ctx context.Context, url string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(post)
}

// outcome is the response to one request as the client received it.
type outcome struct {
	status    int
	answer    api.GenerateAnswer
	failure   *api.Error
	sequences []int
	identity  string
	end       *api.StreamEnd
	// broken is the error from sending the request or reading the response; nil if the
	// response ended regularly.
	broken error
}

func generate(ctx context.Context, url string, body api.ReplicaRequest) outcome {
	response, err := post(ctx, url+api.PathReplicaGenerate, body)
	if err != nil {
		return outcome{broken: err}
	}
	defer response.Body.Close()
	seen := outcome{status: response.StatusCode}
	if response.Header.Get("Content-Type") == "text/event-stream" {
		seen.readStream(response.Body)
		return seen
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		seen.broken = err
		return seen
	}
	var failure api.ErrorBody
	if json.Unmarshal(content, &failure) == nil && failure.Error != nil {
		seen.failure = failure.Error
		return seen
	}
	seen.broken = json.Unmarshal(content, &seen.answer)
	seen.identity = seen.answer.RequestID
	return seen
}

func (o *outcome) readStream(body io.Reader) {
	scanner := bufio.NewScanner(body)
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		if name, found := strings.CutPrefix(line, "event: "); found {
			event = name
		}
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		switch event {
		case api.EventChunk:
			var chunk api.StreamChunk
			if o.broken = json.Unmarshal([]byte(data), &chunk); o.broken != nil {
				return
			}
			o.sequences = append(o.sequences, chunk.Sequence)
			o.identity = chunk.RequestID
		case api.EventEnd:
			o.end = new(api.StreamEnd)
			o.broken = json.Unmarshal([]byte(data), o.end)
		case api.EventError:
			o.failure = new(api.Error)
			o.broken = json.Unmarshal([]byte(data), o.failure)
		}
	}
	if o.broken == nil {
		o.broken = scanner.Err()
	}
}

// TestInjectedFaults checks the response and the logged events for each kind of fault, and
// that a fault affects one request only.
func TestInjectedFaults(t *testing.T) {
	const tokens = 6
	broken := func(o outcome) bool { return o.broken != nil }
	cases := []struct {
		kind   FaultKind
		stream bool
		check  func(outcome) bool
		ended  string
	}{
		{"", false, func(o outcome) bool { return o.broken == nil && o.answer.Tokens == tokens && o.answer.Report != nil }, endedComplete},
		{"", true, func(o outcome) bool { return len(o.sequences) == tokens && o.end.Sequence == tokens+1 }, endedComplete},
		{FaultCrash, false, broken, "crash"},
		{FaultCrash, true, func(o outcome) bool { return broken(o) && len(o.sequences) == 2 }, "crash"},
		{FaultStall, true, func(o outcome) bool { return o.broken == nil && len(o.sequences) == tokens }, "stall"},
		{FaultBreakMidEvent, false, broken, "break_mid_event"},
		{FaultBreakMidEvent, true, func(o outcome) bool { return broken(o) && len(o.sequences) == 2 }, "break_mid_event"},
		{FaultBreakBetweenEvents, true, func(o outcome) bool { return broken(o) && len(o.sequences) == 2 }, "break_between_events"},
		{FaultBreakBeforeEnd, true, func(o outcome) bool { return broken(o) && len(o.sequences) == tokens }, "break_before_end"},
		{FaultTruncate, false, broken, "truncate"},
		{FaultTruncate, true, func(o outcome) bool { return o.broken == nil && len(o.sequences) == 2 && o.end == nil }, "truncate"},
		{FaultLate, false, func(o outcome) bool { return o.answer.Tokens == tokens }, "late"},
		{FaultWrongID, false, func(o outcome) bool { return o.identity == foreignRequestID }, "wrong_id"},
		{FaultWrongID, true, func(o outcome) bool { return o.identity == foreignRequestID && len(o.sequences) == tokens }, "wrong_id"},
		{FaultShortBody, false, func(o outcome) bool { return errors.Is(o.broken, io.ErrUnexpectedEOF) }, "short_body"},
		{FaultErrorInSuccess, false, func(o outcome) bool { return o.status == 200 && o.failure != nil }, "error_in_success"},
		{FaultErrorInSuccess, true, func(o outcome) bool { return o.status == 200 && o.failure != nil && o.end == nil }, "error_in_success"},
		{FaultError, false, func(o outcome) bool { return o.status == 500 && o.failure.Outcome == api.OutcomeFailed }, "error"},
		{FaultError, true, func(o outcome) bool { return o.status == 500 && o.failure.Outcome == api.OutcomeFailed }, "error"},
		{FaultSkipChunk, true, func(o outcome) bool { return fmt.Sprint(o.sequences) == "[1 2 4 5 6]" }, "skip_piece"},
		{FaultRepeatChunk, true, func(o outcome) bool { return fmt.Sprint(o.sequences) == "[1 2 3 3 4 5 6]" }, "repeat_piece"},
		{FaultRefuse, false, func(o outcome) bool { return o.status == 429 && o.failure.Outcome == api.OutcomeRefused }, ""},
	}
	for _, test := range cases {
		t.Run(fmt.Sprintf("%s stream=%v", test.kind, test.stream), func(t *testing.T) {
			_, log, url := startReplica(t, nil)
			if test.kind != "" {
				fault := Fault{Kind: test.kind, AfterEvents: 2, DelayMS: 5}
				response, err := post(t.Context(), url+PathControlFault, fault)
				if err != nil || response.StatusCode != http.StatusNoContent {
					t.Fatalf("injecting the fault: response %v, error %v", response, err)
				}
				response.Body.Close()
			}
			seen := generate(t.Context(), url, request("r", test.stream, tokens))
			if !test.check(seen) {
				t.Errorf("unexpected outcome %+v", seen)
			}
			executed := log.find(eventlog.ReplicaExecuted, "r")
			if test.ended == "" {
				if len(executed) != 0 || len(log.find(eventlog.ReplicaRefused, "r")) != 1 {
					t.Errorf("refused request was executed or its refusal not logged once; executions: %v", executed)
				}
				return
			}
			ended := log.await(eventlog.ReplicaEnded, "r")
			if len(executed) != 1 || ended.Run != executed[0].Run || ended.Detail != test.ended {
				t.Errorf("executed %+v, ended %+v, want detail %q", executed, ended, test.ended)
			}
			if test.kind == FaultCrash {
				return
			}
			again := generate(t.Context(), url, request("again", test.stream, tokens))
			if again.broken != nil || again.identity != "again" {
				t.Errorf("fault affected a second request: %+v", again)
			}
		})
	}
}

func TestCrossedResponsesSwapIdentities(t *testing.T) {
	for _, stream := range []bool{false, true} {
		server, _, url := startReplica(t, nil)
		server.faults.add(Fault{Kind: FaultCrossed, Count: 2, DelayMS: 60_000})
		seen := make([]outcome, 2)
		var group sync.WaitGroup
		for index, id := range []string{"first", "second"} {
			group.Go(func() { seen[index] = generate(t.Context(), url, request(id, stream, 4)) })
		}
		group.Wait()
		if seen[0].identity != "second" || seen[1].identity != "first" {
			t.Errorf("stream=%v: requests first and second got the answers of %q and %q, want them swapped", stream, seen[0].identity, seen[1].identity)
		}
	}
}

// TestRefusedRequestsNeverRun sends a request that must be refused while another one runs.
// It also checks that the running request ends when its caller cancels it.
func TestRefusedRequestsNeverRun(t *testing.T) {
	slow := func(parameters *emulator.Parameters) {
		parameters.DecodeStepMS = 60_000
		parameters.Slots = 1
		parameters.QueueLength = 0
	}
	cases := []struct {
		name    string
		prepare func(*Server, *api.ReplicaRequest)
		status  int
		code    api.Code
	}{
		{"older configuration", func(_ *Server, r *api.ReplicaRequest) { r.Stamp.ConfigurationVersion = 4 }, 409, api.CodeStale},
		{"another incarnation", func(_ *Server, r *api.ReplicaRequest) { r.Stamp.ReplicaIncarnation = "earlier" }, 409, api.CodeRestarted},
		{"draining", func(s *Server, _ *api.ReplicaRequest) { s.SetDraining(true) }, 503, api.CodeReplicaDraining},
		{"queue full", func(*Server, *api.ReplicaRequest) {}, 429, api.CodeOverloaded},
		{"no time left", func(_ *Server, r *api.ReplicaRequest) { r.TimeLeftMS = 0 }, 504, api.CodeDeadline},
		{"no tokens", func(_ *Server, r *api.ReplicaRequest) { r.MaxTokens = 0 }, 400, api.CodeInvalid},
		{"larger than the cache", func(_ *Server, r *api.ReplicaRequest) { r.PromptTokens = 500_000 }, 413, api.CodeTooLarge},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server, log, url := startReplica(t, slow)
			ctx, cancel := context.WithCancel(t.Context())
			var group sync.WaitGroup
			group.Go(func() { generate(ctx, url, request("running", false, 2)) })
			log.await(eventlog.ReplicaExecuted, "running")
			refused := request("refused", false, 2)
			test.prepare(server, &refused)
			seen := generate(t.Context(), url, refused)
			if seen.status != test.status || seen.failure == nil || seen.failure.Code != test.code || seen.failure.Outcome != api.OutcomeRefused {
				t.Errorf("outcome = %+v, want a refusal with status %d and code %s", seen, test.status, test.code)
			}
			if executed := log.find(eventlog.ReplicaExecuted, "refused"); len(executed) != 0 {
				t.Errorf("refused request was executed: %+v", executed)
			}
			if events := log.find(eventlog.ReplicaRefused, "refused"); len(events) != 1 || events[0].Version != refused.Stamp.ConfigurationVersion {
				t.Errorf("logged refusals = %+v, want one with the request's configuration version", events)
			}
			cancel()
			group.Wait()
			if ended := log.await(eventlog.ReplicaEnded, "running"); ended.Detail != endedCanceled {
				t.Errorf("canceled request ended with detail %q, want %q", ended.Detail, endedCanceled)
			}
			if report := server.Report(); report.Running+report.Queued != 0 || report.ConfigurationVersion != 5 {
				t.Errorf("report after the cancellation = %+v, want no requests and configuration version 5", report)
			}
		})
	}
}

// TestPlatformSendsListUntilAcknowledged checks that the platform tries the nodes in turn
// until one acknowledges the list, and sends it again after a change.
func TestPlatformSendsListUntilAcknowledged(t *testing.T) {
	received := make(chan api.ReplicaList, 10)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var list api.ReplicaList
		if r.Method != http.MethodPut || r.URL.Path != api.PathReplicas || r.Header.Get("Authorization") != "Bearer secret" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
			t.Error(err)
		}
		received <- list
	}))
	defer node.Close()
	unready := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	defer unready.Close()
	file := filepath.Join(t.TempDir(), "replicas.yaml")
	content := "replicas:\n- {id: m1, service: coder, zone: a, address: '127.0.0.1:1'}\n- {id: m2, service: coder, zone: a, address: '127.0.0.1:2'}\n"
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	log := newMemoryLog()
	platform := NewPlatform(PlatformConfig{
		Control:      []string{strings.TrimPrefix(unready.URL, "http://"), strings.TrimPrefix(node.URL, "http://")},
		ReplicasFile: file, Token: "secret", Log: log, Logger: slog.New(slog.DiscardHandler),
	})
	defer platform.client.CloseIdleConnections()
	if err := platform.Reload(t.Context()); err != nil {
		t.Fatal(err)
	}
	if list := <-received; len(list.Replicas) != 2 || list.Replicas[1].Address != "127.0.0.1:2" || list.Replicas[1].Draining {
		t.Errorf("list = %+v, want m1 and m2, not draining", list)
	}
	control := httptest.NewServer(platform)
	defer control.Close()
	response, err := post(t.Context(), control.URL+PathPlatformDrain, PlatformDrainRequest{Replica: "m2", Draining: true})
	if err != nil || response.StatusCode != http.StatusNoContent {
		t.Fatalf("drain: response %v, error %v", response, err)
	}
	response.Body.Close()
	if list := <-received; list.Replicas[0].Draining || !list.Replicas[1].Draining {
		t.Errorf("list = %+v, want only m2 draining", list)
	}
	if event := log.await(eventlog.PlatformDrain, ""); event.Replica != "m2" {
		t.Errorf("event = %+v, want replica m2", event)
	}
	if err := platform.SetDraining(t.Context(), "m3", true); err == nil {
		t.Error("SetDraining accepted an unlisted replica")
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	platform.config.Control = platform.config.Control[:1]
	if err := platform.Reload(ctx); err == nil {
		t.Error("Reload succeeded although no node acknowledged the list")
	}
	http.DefaultClient.CloseIdleConnections()
}
