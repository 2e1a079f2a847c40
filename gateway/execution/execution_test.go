package execution

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/ticket"
)

// mustFollow adds a reader, which must be possible.
func mustFollow(t *testing.T, run *Execution) *Follower {
	t.Helper()
	reader, failure := run.Follow(true)
	if failure != nil {
		t.Fatal(failure)
	}
	return reader
}

// readAll reads chunks until the result, and returns both.
func readAll(t *testing.T, reader *Follower) ([]string, *Result) {
	t.Helper()
	var chunks []string
	for {
		frames, ended, err := reader.Next(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if ended != nil {
			return chunks, ended
		}
		if err := ForEachChunk(frames, func(data []byte) error {
			chunks = append(chunks, string(data))
			return nil
		}); err != nil {
			t.Fatal(err)
		}
	}
}

func TestFollowersReadFromTheBeginning(t *testing.T) {
	run := New("r", true, 2, func(error) {})
	early := mustFollow(t, run)
	for _, chunk := range []string{`{"a":1}`, `{"a":2}`} {
		if err := run.AppendChunk(t.Context(), []byte(chunk)); err != nil {
			t.Fatal(err)
		}
	}
	if !run.HasOutput() || run.Result() != nil || run.Followers() != 1 {
		t.Errorf("output %t, result %v, %d followers", run.HasOutput(), run.Result(), run.Followers())
	}
	first := &Result{End: &api.StreamEnd{}}
	run.Finish(first)
	run.Finish(&Result{Failure: &api.Error{}})
	for name, reader := range map[string]*Follower{"early": early, "late": mustFollow(t, run)} {
		chunks, ended := readAll(t, reader)
		if got := strings.Join(chunks, " "); got != `{"a":1} {"a":2}` || ended != first {
			t.Errorf("%s: read %s, %+v", name, got, ended)
		}
	}
}

func TestDiscardedOutput(t *testing.T) {
	run := New("r", true, 1, func(error) {})
	reader := mustFollow(t, run)
	if err := run.AppendChunk(t.Context(), []byte("{}")); err != nil {
		t.Fatal(err)
	}
	run.Finish(&Result{End: &api.StreamEnd{}})
	if run.RetainedBytes() == 0 {
		t.Error("no bytes are retained")
	}
	run.Release()
	if size := run.RetainedBytes(); size != 0 {
		t.Errorf("%d bytes are retained", size)
	}
	if _, ended := readAll(t, reader); ended.Failure == nil || ended.Failure.Code != api.CodeDuplicate || ended.Failure.RequestID != "r" {
		t.Errorf("a reader that had read nothing: %+v", ended)
	}
	late, failure := run.Follow(true)
	if failure != nil {
		t.Fatal(failure)
	}
	if chunks, ended := readAll(t, late); len(chunks) != 0 || ended.Failure == nil || ended.Failure.Outcome != api.OutcomeUnknown {
		t.Errorf("a late reader: %v, %+v", chunks, ended)
	}
	if _, failure := run.Follow(false); failure == nil {
		t.Error("a stream was followed as an answer")
	}
}

// TestLastReaderCancels verifies that an execution is canceled when its last reader
// leaves, and only then.
func TestLastReaderCancels(t *testing.T) {
	for _, finished := range []bool{false, true} {
		t.Run(fmt.Sprintf("finished=%t", finished), func(t *testing.T) {
			var causes []error
			run := New("r", true, 1, func(cause error) { causes = append(causes, cause) })
			one, other := mustFollow(t, run), mustFollow(t, run)
			one.Close()
			if len(causes) != 0 {
				t.Fatalf("canceled beside a reader: %v", causes)
			}
			if finished {
				run.Finish(&Result{End: &api.StreamEnd{}})
			}
			other.Close()
			if canceled := len(causes) == 1 && errors.Is(causes[0], ErrAbandoned); canceled == finished {
				t.Errorf("canceled with %v", causes)
			}
		})
	}
}

// TestSlowReaderBlocksProducer verifies that a producer waits for a reader that lags
// behind by more than may be retained, until its context ends.
func TestSlowReaderBlocksProducer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := New("r", true, 1, func(error) {})
		reader := mustFollow(t, run)
		large := []byte(strings.Repeat("x", maxRetainedStreamBytes))
		ctx, cancel := context.WithCancelCause(t.Context())
		appended := make(chan error, 1)
		go func() { appended <- run.AppendChunk(ctx, large) }()
		synctest.Wait()
		select {
		case err := <-appended:
			t.Fatalf("did not wait: %v", err)
		default:
		}
		if _, _, err := reader.Next(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := <-appended; err != nil {
			t.Fatal(err)
		}
		unread := New("r", true, 1, func(error) {})
		mustFollow(t, unread)
		go func() { appended <- unread.AppendChunk(ctx, large) }()
		synctest.Wait()
		stopped := errors.New("stopped")
		cancel(stopped)
		if err := <-appended; !errors.Is(err, stopped) {
			t.Errorf("got %v", err)
		}
	})
}

func TestTicketState(t *testing.T) {
	tests := []struct {
		name   string
		result Result
		want   ticket.State
	}{
		{"answer", Result{Answer: &api.GenerateAnswer{}}, ticket.StateCompleted},
		{"refused", Result{Failure: &api.Error{Outcome: api.OutcomeRefused}}, ticket.StateRejected},
		{"failed", Result{Failure: &api.Error{Outcome: api.OutcomeFailed}}, ticket.StateFailed},
		{"unknown", Result{Failure: &api.Error{Outcome: api.OutcomeUnknown}}, ticket.StateUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.result.TicketState(); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
