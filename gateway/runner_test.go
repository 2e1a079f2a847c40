package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/gateway/execution"
)

// TestRetryAdvice checks the error of requests that end at their deadline. Callers must
// not be advised to retry a request that may have run and is not repeatable.
func TestRetryAdvice(t *testing.T) {
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
		run := execution.New("q", false, 1, func(error) {})
		r := &runner{request: api.GenerateRequest{RequestID: "q", Repeatable: test.repeatable}, execution: run, mayHaveRun: test.ran}
		r.fail(ctx, newRetryableError(api.CodeDeadline, "the deadline passed before an attempt was made"))
		got := run.Result().Failure
		if got.Outcome != test.outcome || got.Retry != test.retry || (got.RetryAfterMS > 0) != test.retry {
			t.Errorf("%s: outcome %s, retry %t after %d ms", test.name, got.Outcome, got.Retry, got.RetryAfterMS)
		}
	}
}
