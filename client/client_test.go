package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/deckpulley/deckpulley/api"
)

// scriptedServer writes its responses in turn, repeats the last one, and records the
// requests.
type scriptedServer struct {
	responses []func(http.ResponseWriter)

	mutex    sync.Mutex
	recorded recording
}

// recording holds the requests to a server in order of arrival.
type recording struct {
	bodies  []string
	headers []http.Header
	queries []string
}

func (s *scriptedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mutex.Lock()
	index := min(len(s.recorded.bodies), len(s.responses)-1)
	s.recorded.bodies = append(s.recorded.bodies, string(body))
	s.recorded.headers = append(s.recorded.headers, r.Header)
	s.recorded.queries = append(s.recorded.queries, r.Method+" "+r.URL.Path+"?"+r.URL.RawQuery)
	s.mutex.Unlock()
	s.responses[index](w)
}

// requests returns a copy of the recorded requests. It takes the lock because the
// client may return before the handler of an aborted response does.
func (s *scriptedServer) requests() recording {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return recording{
		bodies:  slices.Clone(s.recorded.bodies),
		headers: slices.Clone(s.recorded.headers),
		queries: slices.Clone(s.recorded.queries),
	}
}

func respondJSON(code int, body any) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.WriteHeader(code)
		json.NewEncoder(w).Encode(body)
	}
}

func respondError(problem api.Error) func(http.ResponseWriter) {
	return respondJSON(problem.Status(), api.ErrorBody{Error: &problem})
}

func respondText(text string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) { io.WriteString(w, text) }
}

func abortResponse(http.ResponseWriter) { panic(http.ErrAbortHandler) }

// serve starts the servers and returns their addresses. They stop at the end of the
// test.
func serve(t *testing.T, scripts ...*scriptedServer) []string {
	t.Helper()
	var addresses []string
	for _, s := range scripts {
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	return addresses
}

// unreachableAddress returns an address that refuses connections.
func unreachableAddress(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return strings.TrimPrefix(server.URL, "http://")
}

func newClient(t *testing.T, addresses ...string) *Client {
	t.Helper()
	c, err := New(Config{Addresses: addresses, Token: "secret", RetryInterval: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

var accepted = api.OperationResult{OperationID: "o", Accepted: true, Version: 3, Serial: 9}

// TestOperationsFailOverWithSameID checks that an operation is resent with the same ID
// after refused connections, retryable errors and aborted responses until it is
// accepted.
func TestOperationsFailOverWithSameID(t *testing.T) {
	first := &scriptedServer{responses: []func(http.ResponseWriter){
		respondError(api.Error{Code: api.CodeNoPrimary, Outcome: api.OutcomeUnknown, Retry: true}),
		abortResponse,
		respondError(api.Error{Code: api.CodePending, Outcome: api.OutcomeUnknown, Retry: true}),
		respondJSON(http.StatusOK, accepted),
	}}
	addresses := serve(t, first)
	c := newClient(t, unreachableAddress(t), addresses[0])
	operation := api.ConfigurationOperation{BaseVersion: 2, Document: "x"}
	answer, err := c.Apply(testContext(t), &operation)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(&accepted, answer); diff != "" {
		t.Error(diff)
	}
	want := fmt.Sprintf(`{"order_id":%q,"base_version":2,"document":"x"}`, operation.OperationID)
	got := first.requests()
	if operation.OperationID == "" || len(got.bodies) != 4 {
		t.Fatalf("got operation ID %q after %d attempts, want an ID and 4 attempts", operation.OperationID, len(got.bodies))
	}
	for i, body := range got.bodies {
		if body != want || got.headers[i].Get("Authorization") != "Bearer secret" {
			t.Errorf("attempt %d: wrong body or missing bearer token: %s", i, body)
		}
		if !strings.HasPrefix(got.queries[i], "PUT /v1/configuration?wait_ms=") {
			t.Errorf("attempt %d: got request line %s", i, got.queries[i])
		}
	}
}

// TestErrorsHaveCodeAndOutcome checks the code and the outcome of the error for each kind
// of failed operation.
func TestErrorsHaveCodeAndOutcome(t *testing.T) {
	conflict := api.Error{Code: api.CodeVersionConflict, Outcome: api.OutcomeRefused, Message: "version is 5"}
	rejected := api.OperationResult{OperationID: "o", Version: 5, Error: &conflict}
	cases := []struct {
		name    string
		answer  func(http.ResponseWriter)
		want    api.Code
		outcome api.Outcome
	}{
		{"rejected operation", respondJSON(http.StatusConflict, rejected), api.CodeVersionConflict, api.OutcomeRefused},
		{"error body", respondError(api.Error{Code: api.CodeUnauthorized, Outcome: api.OutcomeRefused}), api.CodeUnauthorized, api.OutcomeRefused},
		{"pending until the deadline", respondError(api.Error{Code: api.CodePending, Outcome: api.OutcomeUnknown}), api.CodePending, api.OutcomeUnknown},
		{"no error document", respondJSON(http.StatusBadGateway, "what"), api.CodeNoPrimary, api.OutcomeUnknown},
		{"malformed success", respondText("{"), api.CodeNoPrimary, api.OutcomeUnknown},
		{"aborted response", abortResponse, api.CodeNoPrimary, api.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			addresses := serve(t, &scriptedServer{responses: []func(http.ResponseWriter){c.answer}})
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err := newClient(t, addresses...).Evacuate(ctx, &api.EvacuationOperation{Zone: "z"})
			wantError(t, err, c.want, c.outcome)
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := newClient(t, unreachableAddress(t)).Status(ctx)
	wantError(t, err, api.CodeNoPrimary, api.OutcomeRefused)
	if _, err := New(Config{}); err == nil {
		t.Error("New accepted a configuration without addresses")
	}
}

func wantError(t *testing.T, err error, code api.Code, outcome api.Outcome) {
	t.Helper()
	var problem *api.Error
	if !errors.As(err, &problem) || problem.Code != code || problem.Outcome != outcome {
		t.Fatalf("got %v, want an *api.Error with code %s and outcome %s", err, code, outcome)
	}
}

// TestGenerateResendsOnlyIdempotentRequests checks whether a request is resent to the
// alternate after the first gateway aborts or rejects it.
func TestGenerateResendsOnlyIdempotentRequests(t *testing.T) {
	cases := []struct {
		name       string
		request    api.GenerateRequest
		first      func(http.ResponseWriter)
		wantResent bool
	}{
		{"with a ticket", api.GenerateRequest{Ticket: "t"}, abortResponse, true},
		{"idempotent", api.GenerateRequest{Repeatable: true}, abortResponse, true},
		{"neither ticket nor idempotent", api.GenerateRequest{}, abortResponse, false},
		{"idempotent but rejected", api.GenerateRequest{Repeatable: true}, respondError(api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeRefused, Retry: true}), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first := &scriptedServer{responses: []func(http.ResponseWriter){c.first}}
			second := &scriptedServer{responses: []func(http.ResponseWriter){respondJSON(http.StatusOK, api.GenerateAnswer{RunID: "run"})}}
			addresses := serve(t, first, second)
			answer, err := newClient(t, "unused").Generate(testContext(t), c.request, addresses[0], addresses[1])
			if resent := len(second.requests().bodies) == 1; resent != c.wantResent || (err == nil) != c.wantResent {
				t.Fatalf("got resent=%v, error %v", resent, err)
			}
			if c.wantResent && answer.RunID != "run" {
				t.Errorf("got answer %+v, want the alternate's", answer)
			}
		})
	}
}

// TestGenerateOutcomeUnknownAfterBrokenExchange checks the outcome after the first
// response was aborted, so that the request may have run, and the alternate is
// unreachable or rejects the request. Only a rejection by the ticket's owner is final.
func TestGenerateOutcomeUnknownAfterBrokenExchange(t *testing.T) {
	overloaded := &scriptedServer{responses: []func(http.ResponseWriter){respondError(api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeRefused})}}
	addresses := serve(t, &scriptedServer{responses: []func(http.ResponseWriter){abortResponse}}, overloaded)
	cases := []struct {
		name      string
		request   api.GenerateRequest
		alternate string
		code      api.Code
		outcome   api.Outcome
	}{
		{"alternate unreachable", api.GenerateRequest{Ticket: "t"}, unreachableAddress(t), api.CodeNoPrimary, api.OutcomeUnknown},
		{"rejected by the ticket's owner", api.GenerateRequest{Ticket: "t"}, addresses[1], api.CodeOverloaded, api.OutcomeRefused},
		{"rejected without a ticket", api.GenerateRequest{Repeatable: true}, addresses[1], api.CodeOverloaded, api.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := newClient(t, "unused").Generate(testContext(t), c.request, addresses[0], c.alternate)
			wantError(t, err, c.code, c.outcome)
		})
	}
}

// TestWhereFailsOver checks that the same request goes to the second gateway after the
// first one has aborted its response.
func TestWhereFailsOver(t *testing.T) {
	want := api.WhereAnswer{RequestID: "q", Ticket: "t", Gateway: "owner:80", Alternates: []string{"other:80"}, Region: "north", ExpiresInMS: 900, ConfigurationVersion: 3}
	first := &scriptedServer{responses: []func(http.ResponseWriter){abortResponse}}
	second := &scriptedServer{responses: []func(http.ResponseWriter){respondJSON(http.StatusOK, want)}}
	request := api.WhereRequest{RequestID: "q", Model: "m", WaitMS: 1000, Repeatable: true}
	answer, err := newClient(t, serve(t, first, second)...).Where(testContext(t), request)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(&want, answer); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	for name, server := range map[string]*scriptedServer{"first": first, "second": second} {
		var got api.WhereRequest
		requests := server.requests()
		if len(requests.bodies) != 1 || requests.queries[0] != "POST "+api.PathWhere+"?" {
			t.Fatalf("the %s gateway got requests %q, want one POST to PathWhere", name, requests.queries)
		}
		if err := json.Unmarshal([]byte(requests.bodies[0]), &got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(request, got); diff != "" {
			t.Errorf("request to the %s gateway (-want +got):\n%s", name, diff)
		}
	}
}

// TestStreamSequence checks that only a complete stream of one run, in sequence, ends
// with io.EOF.
func TestStreamSequence(t *testing.T) {
	const (
		one   = "event: piece\ndata: {\"run_id\":\"r\",\"sequence\":1,\"text\":\"a\"}\n\n"
		two   = "event: piece\ndata: {\"run_id\":\"r\",\"sequence\":2,\"text\":\"b\"}\n\n"
		other = "event: piece\ndata: {\"run_id\":\"s\",\"sequence\":2,\"text\":\"b\"}\n\n"
		end   = "event: end\ndata: {\"run_id\":\"r\",\"sequence\":3,\"tokens\":2}\n\n"
		stall = "event: error\ndata: {\"code\":\"replica_stalled\",\"outcome\":\"failed\"}\n\n"
	)
	cases := []struct {
		name   string
		text   string
		chunks int
		want   api.Code // empty if the stream must end with io.EOF
	}{
		{"complete", one + two + end, 2, ""},
		{"missing end event", one + two, 2, api.CodeReplicaBroken},
		{"truncated end event", one + two + strings.TrimSpace(end), 2, api.CodeReplicaBroken},
		{"missing first event", two, 0, api.CodeReplicaBroken},
		{"events of two runs", one + other, 1, api.CodeReplicaBroken},
		{"missing last chunk", one + end, 1, api.CodeReplicaBroken},
		{"error event", one + stall, 1, api.CodeReplicaStalled},
		{"unknown event", "event: x\ndata: {}\n\n", 0, api.CodeReplicaBroken},
		{"malformed chunk event", "event: piece\ndata: {\n\n", 0, api.CodeReplicaBroken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			addresses := serve(t, &scriptedServer{responses: []func(http.ResponseWriter){respondText(c.text)}})
			stream, err := newClient(t, "unused").OpenStream(testContext(t), api.GenerateRequest{}, addresses[0])
			if err != nil {
				t.Fatal(err)
			}
			defer stream.Close()
			chunks := 0
			for {
				if _, err = stream.Next(); err != nil {
					break
				}
				chunks++
			}
			if chunks != c.chunks {
				t.Errorf("got %d chunks", chunks)
			}
			if c.want == "" {
				if !errors.Is(err, io.EOF) || stream.End().Tokens != 2 {
					t.Errorf("ended with %v, want io.EOF and an end event with 2 tokens", err)
				}
				return
			}
			var problem *api.Error
			if !errors.As(err, &problem) || problem.Code != c.want || stream.End() != nil {
				t.Errorf("wrong error code or unexpected end event: ended with %v", err)
			}
		})
	}
}

// TestResponseTimeout checks that reads and operations fail over from a node that
// accepts requests but never responds.
func TestResponseTimeout(t *testing.T) {
	t.Parallel()
	released := make(chan struct{})
	var mutex sync.Mutex
	var seen []string
	frozen := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var operation api.EvacuationOperation
		json.NewDecoder(r.Body).Decode(&operation) // a read has no body
		mutex.Lock()
		seen = append(seen, r.Method+" "+operation.OperationID)
		mutex.Unlock()
		<-released
	}))
	defer frozen.Close()
	defer close(released)
	responding := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var operation api.EvacuationOperation
		json.NewDecoder(r.Body).Decode(&operation)
		json.NewEncoder(w).Encode(api.OperationResult{OperationID: operation.OperationID, Accepted: true, Version: 7})
	}))
	defer responding.Close()
	connect := func() *Client {
		connection, err := New(Config{
			Addresses:       []string{frozen.Listener.Addr().String(), responding.Listener.Addr().String()},
			ResponseTimeout: 50 * time.Millisecond,
		})
		if err != nil {
			t.Fatal(err)
		}
		return connection
	}
	if answer, err := connect().Configuration(t.Context(), true); err != nil || answer.Version != 7 {
		t.Errorf("read: got %+v, %v, want version 7", answer, err)
	}
	operation := api.EvacuationOperation{Zone: "north-1"}
	if answer, err := connect().Evacuate(t.Context(), &operation); err != nil || answer.OperationID != operation.OperationID {
		t.Errorf("operation: got %+v, %v, want the ID of the operation", answer, err)
	}
	mutex.Lock()
	defer mutex.Unlock()
	want := []string{"GET ", "POST " + operation.OperationID}
	if difference := cmp.Diff(want, seen); difference != "" {
		t.Error(difference)
	}
}
