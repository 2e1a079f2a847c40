package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/deckpulley/deckpulley/api"
)

// script answers the requests of one server in turn and notes their bodies.
type script struct {
	mutex   sync.Mutex
	answers []func(http.ResponseWriter)
	bodies  []string
	headers []http.Header
	queries []string
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mutex.Lock()
	index := min(len(s.bodies), len(s.answers)-1)
	s.bodies = append(s.bodies, string(body))
	s.headers = append(s.headers, r.Header)
	s.queries = append(s.queries, r.Method+" "+r.URL.Path+"?"+r.URL.RawQuery)
	s.mutex.Unlock()
	s.answers[index](w)
}

func status(code int, body any) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.WriteHeader(code)
		json.NewEncoder(w).Encode(body)
	}
}

func refusal(problem api.Error) func(http.ResponseWriter) {
	return status(problem.Status(), api.ErrorBody{Error: &problem})
}

func raw(text string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) { io.WriteString(w, text) }
}

func breakOff(http.ResponseWriter) { panic(http.ErrAbortHandler) }

// serve starts one server a script and returns their addresses.
func serve(t *testing.T, scripts ...*script) []string {
	t.Helper()
	var addresses []string
	for _, s := range scripts {
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	return addresses
}

// nobody is an address that refuses connections.
func nobody(t *testing.T) string {
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

func patient(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

var accepted = api.OperationResult{OperationID: "o", Accepted: true, Version: 3, Serial: 9}

func TestOrdersFailOverAndKeepTheirID(t *testing.T) {
	first := &script{answers: []func(http.ResponseWriter){
		refusal(api.Error{Code: api.CodeNoPrimary, Outcome: api.OutcomeUnknown, Retry: true}),
		breakOff,
		refusal(api.Error{Code: api.CodePending, Outcome: api.OutcomeUnknown, Retry: true}),
		status(http.StatusOK, accepted),
	}}
	addresses := serve(t, first)
	c := newClient(t, nobody(t), addresses[0])
	order := api.ConfigurationOperation{BaseVersion: 2, Document: "x"}
	answer, err := c.Apply(patient(t), &order)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(&accepted, answer); diff != "" {
		t.Error(diff)
	}
	want := fmt.Sprintf(`{"order_id":%q,"base_version":2,"document":"x"}`, order.OperationID)
	if order.OperationID == "" || len(first.bodies) != 4 {
		t.Fatalf("order %q, %d attempts", order.OperationID, len(first.bodies))
	}
	for i, body := range first.bodies {
		if body != want || first.headers[i].Get("Authorization") != "Bearer secret" {
			t.Errorf("attempt %d sent %s", i, body)
		}
		if !strings.HasPrefix(first.queries[i], "PUT /v1/configuration?wait_ms=") {
			t.Errorf("attempt %d asked %s", i, first.queries[i])
		}
	}
}

func TestErrorsAreTyped(t *testing.T) {
	conflict := api.Error{Code: api.CodeVersionConflict, Outcome: api.OutcomeRefused, Message: "version is 5"}
	refused := api.OperationResult{OperationID: "o", Version: 5, Error: &conflict}
	cases := []struct {
		name   string
		answer func(http.ResponseWriter)
		want   api.Code
		run    api.Outcome
	}{
		{"refused order", status(http.StatusConflict, refused), api.CodeVersionConflict, api.OutcomeRefused},
		{"error body", refusal(api.Error{Code: api.CodeUnauthorized, Outcome: api.OutcomeRefused}), api.CodeUnauthorized, api.OutcomeRefused},
		{"pending until the end", refusal(api.Error{Code: api.CodePending, Outcome: api.OutcomeUnknown}), api.CodePending, api.OutcomeUnknown},
		{"no typed error", status(http.StatusBadGateway, "what"), api.CodeNoPrimary, api.OutcomeUnknown},
		{"malformed success", raw("{"), api.CodeNoPrimary, api.OutcomeUnknown},
		{"broken off", breakOff, api.CodeNoPrimary, api.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			addresses := serve(t, &script{answers: []func(http.ResponseWriter){c.answer}})
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err := newClient(t, addresses...).Evacuate(ctx, &api.EvacuationOperation{Zone: "z"})
			wantProblem(t, err, c.want, c.run)
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := newClient(t, nobody(t)).Status(ctx)
	wantProblem(t, err, api.CodeNoPrimary, api.OutcomeRefused)
	if _, err := New(Config{}); err == nil {
		t.Error("a client without addresses was made")
	}
}

func wantProblem(t *testing.T, err error, code api.Code, outcome api.Outcome) {
	t.Helper()
	var problem *api.Error
	if !errors.As(err, &problem) || problem.Code != code || problem.Outcome != outcome {
		t.Fatalf("got %v, want %s (%s)", err, code, outcome)
	}
}

func TestGenerateResendsOnlyWhatMayBeResent(t *testing.T) {
	cases := []struct {
		name    string
		request api.GenerateRequest
		first   func(http.ResponseWriter)
		again   bool
	}{
		{"with a ticket", api.GenerateRequest{Ticket: "t"}, breakOff, true},
		{"repeatable", api.GenerateRequest{Repeatable: true}, breakOff, true},
		{"neither", api.GenerateRequest{}, breakOff, false},
		{"answered", api.GenerateRequest{Repeatable: true}, refusal(api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeRefused, Retry: true}), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first := &script{answers: []func(http.ResponseWriter){c.first}}
			second := &script{answers: []func(http.ResponseWriter){status(http.StatusOK, api.GenerateAnswer{RunID: "run"})}}
			addresses := serve(t, first, second)
			answer, err := newClient(t, "unused").Generate(patient(t), c.request, addresses[0], addresses[1])
			if resent := len(second.bodies) == 1; resent != c.again || (err == nil) != c.again {
				t.Fatalf("resent %v, error %v", resent, err)
			}
			if c.again && answer.RunID != "run" {
				t.Errorf("answer %+v", answer)
			}
		})
	}
}

// TestGenerateRefusesOnlyWhatNeverRan breaks the first exchange off, which may
// have run, and has the alternate refuse in one way or another.
func TestGenerateRefusesOnlyWhatNeverRan(t *testing.T) {
	overloaded := &script{answers: []func(http.ResponseWriter){refusal(api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeRefused})}}
	addresses := serve(t, &script{answers: []func(http.ResponseWriter){breakOff}}, overloaded)
	cases := []struct {
		name      string
		request   api.GenerateRequest
		alternate string
		code      api.Code
		outcome   api.Outcome
	}{
		{"nobody there", api.GenerateRequest{Ticket: "t"}, nobody(t), api.CodeNoPrimary, api.OutcomeUnknown},
		{"the owner refused", api.GenerateRequest{Ticket: "t"}, addresses[1], api.CodeOverloaded, api.OutcomeRefused},
		{"another gateway refused", api.GenerateRequest{Repeatable: true}, addresses[1], api.CodeOverloaded, api.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := newClient(t, "unused").Generate(patient(t), c.request, addresses[0], c.alternate)
			wantProblem(t, err, c.code, c.outcome)
		})
	}
}

// TestWhereAsksTheNextGateway breaks the first gateway's answer off: the same
// question goes to the second one.
func TestWhereAsksTheNextGateway(t *testing.T) {
	want := api.WhereAnswer{RequestID: "q", Ticket: "t", Gateway: "owner:80", Alternates: []string{"other:80"}, Region: "north", ExpiresInMS: 900, ConfigurationVersion: 3}
	first := &script{answers: []func(http.ResponseWriter){breakOff}}
	second := &script{answers: []func(http.ResponseWriter){status(http.StatusOK, want)}}
	question := api.WhereRequest{RequestID: "q", Model: "m", WaitMS: 1000, Repeatable: true}
	answer, err := newClient(t, serve(t, first, second)...).Where(patient(t), question)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(&want, answer); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	for name, asked := range map[string]*script{"first": first, "second": second} {
		var got api.WhereRequest
		if len(asked.bodies) != 1 || asked.queries[0] != "POST "+api.PathWhere+"?" {
			t.Fatalf("the %s gateway was asked %q", name, asked.queries)
		}
		if err := json.Unmarshal([]byte(asked.bodies[0]), &got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(question, got); diff != "" {
			t.Errorf("question to the %s gateway (-want +got):\n%s", name, diff)
		}
	}
}

func TestStream(t *testing.T) {
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
		pieces int
		want   api.Code // empty is a clean end
	}{
		{"whole", one + two + end, 2, ""},
		{"no end", one + two, 2, api.CodeReplicaBroken},
		{"half an end", one + two + strings.TrimSpace(end), 2, api.CodeReplicaBroken},
		{"skipped", two, 0, api.CodeReplicaBroken},
		{"spliced", one + other, 1, api.CodeReplicaBroken},
		{"early end", one + end, 1, api.CodeReplicaBroken},
		{"error event", one + stall, 1, api.CodeReplicaStalled},
		{"unknown event", "event: x\ndata: {}\n\n", 0, api.CodeReplicaBroken},
		{"malformed", "event: piece\ndata: {\n\n", 0, api.CodeReplicaBroken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			addresses := serve(t, &script{answers: []func(http.ResponseWriter){raw(c.text)}})
			stream, err := newClient(t, "unused").OpenStream(patient(t), api.GenerateRequest{}, addresses[0])
			if err != nil {
				t.Fatal(err)
			}
			defer stream.Close()
			pieces := 0
			for {
				if _, err = stream.Next(); err != nil {
					break
				}
				pieces++
			}
			if pieces != c.pieces {
				t.Errorf("%d pieces", pieces)
			}
			if c.want == "" {
				if !errors.Is(err, io.EOF) || stream.End().Tokens != 2 {
					t.Errorf("ended with %v", err)
				}
				return
			}
			var problem *api.Error
			if !errors.As(err, &problem) || problem.Code != c.want || stream.End() != nil {
				t.Errorf("ended with %v", err)
			}
		})
	}
}

// TestSilentNodes gives up on a node that takes requests and never answers.
func TestSilentNodes(t *testing.T) {
	t.Parallel()
	released := make(chan struct{})
	var mutex sync.Mutex
	var seen []string
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var order api.EvacuationOperation
		json.NewDecoder(r.Body).Decode(&order) // a read has no body
		mutex.Lock()
		seen = append(seen, r.Method+" "+order.OperationID)
		mutex.Unlock()
		<-released
	}))
	defer silent.Close()
	defer close(released)
	answering := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var order api.EvacuationOperation
		json.NewDecoder(r.Body).Decode(&order)
		json.NewEncoder(w).Encode(api.OperationResult{OperationID: order.OperationID, Accepted: true, Version: 7})
	}))
	defer answering.Close()
	connect := func() *Client {
		connection, err := New(Config{
			Addresses:       []string{silent.Listener.Addr().String(), answering.Listener.Addr().String()},
			ResponseTimeout: 50 * time.Millisecond,
		})
		if err != nil {
			t.Fatal(err)
		}
		return connection
	}
	if answer, err := connect().Configuration(t.Context(), true); err != nil || answer.Version != 7 {
		t.Errorf("read: %+v, %v", answer, err)
	}
	order := api.EvacuationOperation{Zone: "north-1"}
	if answer, err := connect().Evacuate(t.Context(), &order); err != nil || answer.OperationID != order.OperationID {
		t.Errorf("order: %+v, %v", answer, err)
	}
	mutex.Lock()
	defer mutex.Unlock()
	want := []string{"GET ", "POST " + order.OperationID}
	if difference := cmp.Diff(want, seen); difference != "" {
		t.Error(difference)
	}
}
