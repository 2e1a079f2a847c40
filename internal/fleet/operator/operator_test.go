package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// fakeNode gives its answers in order, repeats the last one, and records the operation IDs
// that it receives.
type fakeNode struct {
	mutex   sync.Mutex
	answers []api.OperationResult
	ids     []string
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var operation api.ConfigurationOperation
	json.NewDecoder(r.Body).Decode(&operation)
	n.ids = append(n.ids, operation.OperationID)
	answer := n.answers[0]
	if len(n.answers) > 1 {
		n.answers = n.answers[1:]
	}
	if answer.Error != nil {
		w.WriteHeader(answer.Error.Status())
	}
	json.NewEncoder(w).Encode(answer)
}

// start returns the node's address.
func (n *fakeNode) start(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(n)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startBroken returns the address of a node that breaks every connection before it
// answers.
func startBroken(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// newTestOperator returns an operator for the nodes and a function that closes the log and
// returns the outcomes logged.
func newTestOperator(t *testing.T, addresses ...string) (*Operator, func() []string) {
	t.Helper()
	folder := t.TempDir()
	log, err := eventlog.Open(filepath.Join(folder, "log.jsonl"), "test")
	if err != nil {
		t.Fatal(err)
	}
	outcomes := func() []string {
		if err := log.Close(); err != nil {
			t.Fatal(err)
		}
		events, err := eventlog.ReadFolder(folder)
		if err != nil {
			t.Fatal(err)
		}
		var list []string
		for _, event := range events {
			if event.Kind == eventlog.OperationAnswered {
				list = append(list, event.Outcome)
			}
		}
		return list
	}
	return New("operator-1", "token", func() []string { return addresses }, log), outcomes
}

func TestSendRetriesWithSameIDUntilDefiniteAnswer(t *testing.T) {
	pending := api.OperationResult{Error: &api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeUnknown, Retry: true}}
	refused := api.OperationResult{Error: &api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeRefused}}
	accepted := api.OperationResult{Accepted: true, Version: 7, Serial: 40}
	tests := []struct {
		name     string
		answers  []api.OperationResult
		accepted bool
		outcomes []string
	}{
		{"accepted immediately", []api.OperationResult{accepted}, true, []string{checker.OperationUnknown, checker.OperationAccepted}},
		{"refused", []api.OperationResult{refused}, false, []string{checker.OperationUnknown, checker.OperationRefused}},
		{
			"pending, then accepted",
			[]api.OperationResult{pending, accepted},
			true,
			[]string{checker.OperationUnknown, checker.OperationUnknown, checker.OperationUnknown, checker.OperationAccepted},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			node := &fakeNode{answers: test.answers}
			operator, outcomes := newTestOperator(t, startBroken(t), node.start(t))
			operation := operator.Configuration(6, "document")
			answer, err := operator.Send(t.Context(), operation)
			if err != nil || answer.Accepted != test.accepted {
				t.Fatalf("answer %+v, error %v", answer, err)
			}
			if test.accepted && (answer.Version != 7 || answer.Serial != 40) {
				t.Errorf("answer %+v, want version 7 and serial 40", answer)
			}
			for _, id := range node.ids {
				if id != operation.ID {
					t.Errorf("sent with ID %s, want %s", id, operation.ID)
				}
			}
			if difference := cmp.Diff(test.outcomes, outcomes()); difference != "" {
				t.Error(difference)
			}
		})
	}
}

func TestSendEndsWithItsContext(t *testing.T) {
	operator, _ := newTestOperator(t, startBroken(t))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := operator.Send(ctx, operator.Evacuation("north-1", false)); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v, want deadline exceeded", err)
	}
}

func TestOperationsHaveDifferentIDs(t *testing.T) {
	operator, _ := newTestOperator(t)
	first, second := operator.Evacuation("north-1", false), operator.Evacuation("north-1", false)
	if first.ID == second.ID {
		t.Errorf("two operations have the same ID %s", first.ID)
	}
}
