package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/internal/workload"
)

// fakeGateway answers as a gateway does, or incorrectly according to its fault. It logs
// executions as a replica would.
type fakeGateway struct {
	fault   string
	log     *eventlog.Writer
	address string
	runs    atomic.Int64
}

func (g *fakeGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == api.PathWhere {
		var where api.WhereRequest
		json.NewDecoder(r.Body).Decode(&where)
		json.NewEncoder(w).Encode(api.WhereAnswer{RequestID: where.RequestID, Ticket: "ticket", Gateway: g.address})
		return
	}
	var request api.GenerateRequest
	json.NewDecoder(r.Body).Decode(&request)
	if g.fault == "refusal" {
		writeFailure(w, api.CodeOverloaded, api.OutcomeRefused)
		return
	}
	run := fmt.Sprintf("run-%d", g.runs.Add(1))
	event := eventlog.Event{Replica: "replica", Region: "north", Request: request.RequestID, Run: run, Attempt: 1}
	event.Kind = eventlog.ReplicaExecuted
	g.log.Write(event)
	event.Kind, event.Detail, event.Tokens = eventlog.ReplicaEnded, "whole", request.MaxTokens
	g.log.Write(event)
	if g.fault == "refusal after execution" {
		writeFailure(w, api.CodeOverloaded, api.OutcomeRefused)
		return
	}
	if request.Stream {
		g.stream(w, request, run)
		return
	}
	g.answer(w, request, run)
}

func writeFailure(w http.ResponseWriter, code api.Code, outcome api.Outcome) {
	failure := &api.Error{Code: code, Outcome: outcome, Message: "requested by the test"}
	w.WriteHeader(failure.Status())
	json.NewEncoder(w).Encode(api.ErrorBody{Error: failure})
}

func (g *fakeGateway) answer(w http.ResponseWriter, request api.GenerateRequest, run string) {
	answer := api.GenerateAnswer{RequestID: request.RequestID, RunID: run, Tokens: request.MaxTokens, Text: strings.Repeat("word ", request.MaxTokens)}
	switch g.fault {
	case "foreign answer":
		answer.RequestID = "another"
	case "short answer":
		answer.Text = "word"
	case "error inside":
		json.NewEncoder(w).Encode(api.ErrorBody{Error: &api.Error{Code: api.CodeReplicaError, Outcome: api.OutcomeFailed}})
		return
	}
	json.NewEncoder(w).Encode(answer)
}

func (g *fakeGateway) stream(w http.ResponseWriter, request api.GenerateRequest, run string) {
	w.Header().Set("Content-Type", streamType)
	send := func(name string, data any) {
		text, _ := json.Marshal(data)
		fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, text)
		if err := http.NewResponseController(w).Flush(); err != nil {
			panic(err)
		}
	}
	for sequence := 1; sequence <= request.MaxTokens; sequence++ {
		chunk := api.StreamChunk{RequestID: request.RequestID, RunID: run, Sequence: sequence, Tokens: 1}
		if g.fault == "spliced stream" && sequence == 3 {
			chunk.RunID = "another"
		}
		if g.fault == "skipped event" && sequence == 3 {
			continue
		}
		send(api.EventChunk, chunk)
	}
	switch g.fault {
	case "no end":
		return
	case "clean end after an error":
		send(api.EventError, api.Error{Code: api.CodeReplicaBroken, Outcome: api.OutcomeFailed})
		return
	case "aborted after an error":
		send(api.EventError, api.Error{Code: api.CodeReplicaBroken, Outcome: api.OutcomeFailed})
		panic(http.ErrAbortHandler)
	}
	send(api.EventEnd, api.StreamEnd{RequestID: request.RequestID, RunID: run, Sequence: request.MaxTokens + 1, Tokens: request.MaxTokens})
}

// checkFakeGateway sends count requests to a gateway with the given fault and returns the
// checker's report on the log.
func checkFakeGateway(t *testing.T, fault string, stream bool, count int) checker.Report {
	t.Helper()
	folder := t.TempDir()
	log, err := eventlog.Open(filepath.Join(folder, "log.jsonl"), "test")
	if err != nil {
		t.Fatal(err)
	}
	gateway := &fakeGateway{fault: fault, log: log}
	server := httptest.NewServer(gateway)
	defer server.Close()
	gateway.address = server.Listener.Addr().String()
	pool := New(Config{Gateways: map[string][]string{"north": {gateway.address}}, Regions: []string{"north"}, Log: log, Seed: 1})
	for number := range count {
		pool.begin(workload.Request{Region: "north", Generate: api.GenerateRequest{
			RequestID: fmt.Sprintf("request-%d", number), Model: "model", MaxTokens: 5, Stream: stream, WaitMS: 5000, Repeatable: true,
		}})
	}
	if !pool.Wait(20 * time.Second) {
		t.Fatal("requests still in flight after the timeout")
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	events, err := eventlog.ReadFolder(folder)
	if err != nil {
		t.Fatal(err)
	}
	return checker.Check(events, checker.Options{SlowStartLimit: 1, Gateways: 1})
}

func TestCallersDetectIncorrectAnswers(t *testing.T) {
	tests := []struct {
		fault  string
		stream bool
		broken checker.Promise
	}{
		{"", false, ""},
		{"", true, ""},
		{"refusal", false, ""},
		{"aborted after an error", true, ""},
		{"refusal after execution", false, "P2"},
		{"foreign answer", false, "P3"},
		{"short answer", false, "P3"},
		{"error inside", false, "P3"},
		{"spliced stream", true, "P4"},
		{"skipped event", true, "P4"},
		{"no end", true, "P4"},
		{"clean end after an error", true, "P4"},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%s/stream=%v", test.fault, test.stream), func(t *testing.T) {
			report := checkFakeGateway(t, test.fault, test.stream, 3)
			for _, verdict := range report.Verdicts {
				broken := verdict.Status() == checker.StatusBroken
				if broken != (verdict.Promise == test.broken) {
					t.Errorf("status of promise %s is %s: %+v", verdict.Promise, verdict.Status(), verdict.Violations)
				}
			}
		})
	}
}

func TestCallersUseAnotherGatewayIfOneIsUnreachable(t *testing.T) {
	folder := t.TempDir()
	log, err := eventlog.Open(filepath.Join(folder, "log.jsonl"), "test")
	if err != nil {
		t.Fatal(err)
	}
	gateway := &fakeGateway{log: log}
	server := httptest.NewServer(gateway)
	defer server.Close()
	gateway.address = server.Listener.Addr().String()
	stopped := httptest.NewServer(gateway)
	stoppedAddress := stopped.Listener.Addr().String()
	stopped.Close()
	pool := New(Config{
		Gateways: map[string][]string{"north": {stoppedAddress}, "south": {gateway.address}}, Regions: []string{"north", "south"}, Log: log, Seed: 1,
	})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	pool.Generate(ctx, workload.New(workload.Kodovka().Scale(2), nil, 1, "test"))
	pool.Wait(20 * time.Second)
	log.Close()
	events, err := eventlog.ReadFolder(folder)
	if err != nil {
		t.Fatal(err)
	}
	answered := 0
	for _, event := range events {
		if event.Kind != eventlog.CallerAnswered {
			continue
		}
		answered++
		if event.Outcome != string(api.OutcomeSuccess) && event.Code != codeAbandoned {
			t.Errorf("unexpected outcome %s, code %s: %s", event.Outcome, event.Code, event.Detail)
		}
	}
	if answered == 0 {
		t.Error("no request was answered")
	}
}
