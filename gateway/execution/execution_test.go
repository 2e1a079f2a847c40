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

// mustFollow adds a follower of a stream and fails the test if that is not possible.
func mustFollow(t *testing.T, run *Execution) *Follower {
	t.Helper()
	follower, failure := run.Follow(true)
	if failure != nil {
		t.Fatal(failure)
	}
	return follower
}

// readAll reads until the result and returns the chunks and the result.
func readAll(t *testing.T, follower *Follower) ([]string, *Result) {
	t.Helper()
	var chunks []string
	for {
		frames, result, err := follower.Next(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if result != nil {
			return chunks, result
		}
		if err := ForEachChunk(frames, func(data []byte) error {
			chunks = append(chunks, string(data))
			return nil
		}); err != nil {
			t.Fatal(err)
		}
	}
}

// TestFollowersReadFromTheBeginning verifies that followers that join before and after
// the output read the same events and the first result that was set.
func TestFollowersReadFromTheBeginning(t *testing.T) {
	run := New("r", true, 2, func(error) {})
	early := mustFollow(t, run)
	for _, chunk := range []string{`{"a":1}`, `{"a":2}`} {
		if err := run.AppendChunk(t.Context(), []byte(chunk)); err != nil {
			t.Fatal(err)
		}
	}
	if !run.HasOutput() || run.Result() != nil || run.Followers() != 1 {
		t.Errorf("unfinished execution with output: HasOutput %t, result %v, %d followers; want true, nil, 1", run.HasOutput(), run.Result(), run.Followers())
	}
	first := &Result{End: &api.StreamEnd{}}
	run.Finish(first)
	run.Finish(&Result{Failure: &api.Error{}})
	for name, follower := range map[string]*Follower{"early": early, "late": mustFollow(t, run)} {
		chunks, result := readAll(t, follower)
		if got := strings.Join(chunks, " "); got != `{"a":1} {"a":2}` || result != first {
			t.Errorf("%s follower: read chunks %s and result %+v", name, got, result)
		}
	}
}

// TestDiscardedOutput verifies that after the output of a finished execution was
// released, followers get the error for discarded output.
func TestDiscardedOutput(t *testing.T) {
	run := New("r", true, 1, func(error) {})
	follower := mustFollow(t, run)
	if err := run.AppendChunk(t.Context(), []byte("{}")); err != nil {
		t.Fatal(err)
	}
	run.Finish(&Result{End: &api.StreamEnd{}})
	if run.RetainedBytes() == 0 {
		t.Error("RetainedBytes is 0 before Release")
	}
	run.Release()
	if size := run.RetainedBytes(); size != 0 {
		t.Errorf("RetainedBytes is %d after Release, want 0", size)
	}
	if _, result := readAll(t, follower); result.Failure == nil || result.Failure.Code != api.CodeDuplicate || result.Failure.RequestID != "r" {
		t.Errorf("follower added before Release: got result %+v, want a duplicate error", result)
	}
	late, failure := run.Follow(true)
	if failure != nil {
		t.Fatal(failure)
	}
	if chunks, result := readAll(t, late); len(chunks) != 0 || result.Failure == nil || result.Failure.Outcome != api.OutcomeUnknown {
		t.Errorf("follower added after Release: got chunks %v and result %+v, want no chunks and an unknown outcome", chunks, result)
	}
	if _, failure := run.Follow(false); failure == nil {
		t.Error("Follow(false) of a streamed execution succeeded")
	}
}

// TestLastFollowerCancels verifies that an execution is canceled when its last follower
// closes, but not before that and not after it has finished.
func TestLastFollowerCancels(t *testing.T) {
	for _, finished := range []bool{false, true} {
		t.Run(fmt.Sprintf("finished=%t", finished), func(t *testing.T) {
			var causes []error
			run := New("r", true, 1, func(cause error) { causes = append(causes, cause) })
			first, last := mustFollow(t, run), mustFollow(t, run)
			first.Close()
			if len(causes) != 0 {
				t.Fatalf("canceled with %v although a follower is open", causes)
			}
			if finished {
				run.Finish(&Result{End: &api.StreamEnd{}})
			}
			last.Close()
			if canceled := len(causes) == 1 && errors.Is(causes[0], ErrAbandoned); canceled == finished {
				t.Errorf("after the last follower closed: cancellation causes %v", causes)
			}
		})
	}
}

// TestSlowFollowerBlocksProducer verifies that a producer blocks while a follower lags
// behind by more than maxRetainedStreamBytes, until the follower reads or the
// producer's context ends.
func TestSlowFollowerBlocksProducer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := New("r", true, 1, func(error) {})
		follower := mustFollow(t, run)
		large := []byte(strings.Repeat("x", maxRetainedStreamBytes))
		ctx, cancel := context.WithCancelCause(t.Context())
		appendDone := make(chan error, 1)
		go func() { appendDone <- run.AppendChunk(ctx, large) }()
		synctest.Wait()
		select {
		case err := <-appendDone:
			t.Fatalf("AppendChunk returned %v before the follower read, want it to block", err)
		default:
		}
		if _, _, err := follower.Next(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := <-appendDone; err != nil {
			t.Fatal(err)
		}
		blocked := New("r", true, 1, func(error) {})
		mustFollow(t, blocked)
		go func() { appendDone <- blocked.AppendChunk(ctx, large) }()
		synctest.Wait()
		cause := errors.New("stopped")
		cancel(cause)
		if err := <-appendDone; !errors.Is(err, cause) {
			t.Errorf("AppendChunk after cancellation: got error %v, want the cause", err)
		}
	})
}

// TestTicketState verifies the ticket state of each kind of result.
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
				t.Errorf("TicketState is %v, want %v", got, test.want)
			}
		})
	}
}
