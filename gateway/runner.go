package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/routing"
)

// plantedExtraTime is what planted.RunAfterRefusal adds to the deadline of a request.
const plantedExtraTime = 10 * time.Second

// errStalled is the cause of a cancellation by a stream's gap.
var errStalled = errors.New("gateway: the stream stalled")

// runner takes one request to its result. It is used by one goroutine.
type runner struct {
	gateway   *Gateway
	request   api.GenerateRequest
	route     routing.Request
	execution *execution
	// reservation is a reservation made before, for the first attempt.
	reservation *routing.Reservation
	// forwarded means that the request came from another region and stays here.
	forwarded bool
	// attemptsBefore is the number of attempts made in the region that the request came from.
	attemptsBefore int
	attemptsSent   int // attempts of which a byte may have left
	attemptsVoided int // those of them that a replica refused for what placed them
	remoteAttempts int // attempts in other regions that may have reached a replica
	unsentAttempts int
	staleRefusals  int
	// retryRequested means that the request's one retry was asked for; spare that it
	// was allowed and nothing has been sent for it yet.
	retryRequested bool
	retryAvailable bool
	// mayHaveRun means that an earlier attempt may have run, so that nothing is a
	// refusal any more. broke is how it went wrong, if it went wrong here.
	mayHaveRun           bool
	indeterminateFailure *api.Error
}

// run returns when the execution has its result.
func (r *runner) run(ctx context.Context) {
	failure := r.dispatch(ctx)
	if failure == nil {
		return
	}
	r.fail(ctx, failure)
	if planted.Active(planted.RunAfterRefusal) {
		r.route.Deadline = r.route.Deadline.Add(plantedExtraTime)
		_ = r.dispatch(r.gateway.runContext)
	}
}

// fail delivers why there is no answer.
func (r *runner) fail(ctx context.Context, failure *api.Error) {
	if cause := r.interruption(ctx); cause != nil {
		if failure.Outcome == api.OutcomeFailed {
			cause.Outcome = api.OutcomeFailed
		}
		failure = cause
	}
	copied := *failure
	if r.mayHaveRun && copied.Outcome == api.OutcomeRefused {
		copied.Outcome = api.OutcomeUnknown
		if r.indeterminateFailure != nil && ctx.Err() == nil {
			copied = *r.indeterminateFailure // what went wrong, not why there was no second try
		}
	}
	r.setRetryAdvice(&copied)
	r.deliver(&result{failure: &copied})
}

// setRetryAdvice tells the caller when to come back, if that may help and cannot
// repeat what must not be.
func (r *runner) setRetryAdvice(failure *api.Error) {
	if failure.Outcome != api.OutcomeRefused {
		failure.Retry = r.request.Repeatable
	}
	switch {
	case !failure.Retry:
		failure.RetryAfterMS = 0
	case failure.RetryAfterMS == 0:
		failure.RetryAfterMS = defaultRetryAfter.Milliseconds()
	}
}

// interruption is the result of a request whose context ended, as if it never
// ran; nil if the context has not ended.
func (r *runner) interruption(ctx context.Context) *api.Error {
	if ctx.Err() == nil {
		return nil
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errAbandoned):
		return newError(api.CodeCanceled, api.OutcomeRefused, "the caller went away")
	case errors.Is(cause, errStopping):
		return newRetryableError(api.CodeNotReady, "the gateway is stopping")
	default:
		return newRetryableError(api.CodeDeadline, "the request could not be done in the caller's time")
	}
}

// attemptsMade is the number of attempts so far that may have reached a replica.
func (r *runner) attemptsMade() int { return r.attemptsBefore + r.attemptsSent + r.remoteAttempts }

func (r *runner) deliver(final *result) {
	final.attempts = r.attemptsSent + r.remoteAttempts
	if final.failure != nil {
		final.failure.RequestID = r.request.RequestID
	}
	r.execution.finish(final)
}

// releaseReservation gives a reservation back that was not used.
func (r *runner) releaseReservation() {
	if r.reservation != nil {
		r.reservation.Finish(routing.ResultCanceled, nil, time.Now())
		r.reservation = nil
	}
}
