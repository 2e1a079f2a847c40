package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// TestRetryIsAdvisedOnlyWhereItIsSafe ends requests by their deadline. Whoever
// is told unknown of a request that must not be repeated is not told to repeat it.
func TestRetryIsAdvisedOnlyWhereItIsSafe(t *testing.T) {
	ctx, cancel := context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	<-ctx.Done()
	tests := []struct {
		name            string
		ran, repeatable bool
		outcome         api.Outcome
		retry           bool
	}{
		{"never sent", false, false, api.OutcomeRefused, true},
		{"never sent, repeatable", false, true, api.OutcomeRefused, true},
		{"may have run", true, false, api.OutcomeUnknown, false},
		{"may have run, repeatable", true, true, api.OutcomeUnknown, true},
	}
	for _, test := range tests {
		run := newExecution("q", false, 1, func(error) {})
		r := &runner{request: api.GenerateRequest{RequestID: "q", Repeatable: test.repeatable}, execution: run, ran: test.ran}
		r.fail(ctx, refusedLater(api.CodeDeadline, "no time is left"))
		got := run.result.failure
		if got.Outcome != test.outcome || got.Retry != test.retry || (got.RetryAfterMS > 0) != test.retry {
			t.Errorf("%s: %s, retry %t after %d ms", test.name, got.Outcome, got.Retry, got.RetryAfterMS)
		}
	}
}
