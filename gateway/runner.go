package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/gateway/execution"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/routing"
)

// plantedExtraTime is what planted.RunAfterRefusal adds to the deadline of a request.
const plantedExtraTime = 10 * time.Second

// errStalled is the cause of a cancellation by the idle timeout of a stream.
var errStalled = errors.New("gateway: the stream stalled")

// runner takes one request to its result. It is used by one goroutine.
type runner struct {
	gateway   *Gateway
	request   api.GenerateRequest
	route     routing.Request
	execution *execution.Execution
	// reservation is used by the first attempt if it was made in advance.
	reservation *routing.Reservation
	// forwarded means that another region forwarded the request, which is not forwarded
	// again.
	forwarded bool
	// attemptsBefore is the number of attempts made before the request was forwarded.
	attemptsBefore int
	// attemptsSent counts the local attempts of which a byte may have been sent.
	attemptsSent int
	// attemptsVoided counts those of attemptsSent that a replica refused because the
	// placement was outdated. They don't make the next attempt a retry.
	attemptsVoided int
	// remoteAttempts counts the attempts in other regions that may have reached a
	// replica.
	remoteAttempts int
	unsentAttempts int
	staleRefusals  int
	// retryRequested means that the one retry of the request was requested from the
	// budget; retryAvailable that it was allowed and not used yet.
	retryRequested bool
	retryAvailable bool
	// mayHaveRun means that an earlier attempt may have run, so that the outcome can't be
	// a refusal any more. indeterminateFailure is the error of that attempt if it was
	// made by this runner.
	mayHaveRun           bool
	indeterminateFailure *api.Error
}

// run executes the request and returns when the execution has its result.
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

// fail delivers the error of a request without an answer.
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
			copied = *r.indeterminateFailure // the failure itself, not the reason for no retry
		}
	}
	r.setRetryAdvice(&copied)
	r.deliver(&execution.Result{Failure: &copied})
}

// setRetryAdvice sets whether and after which delay the caller should retry. A
// request that may have run and is not repeatable must not be retried.
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

// interruption returns the error of a request whose context ended, as if the request
// never ran; nil if the context has not ended.
func (r *runner) interruption(ctx context.Context) *api.Error {
	if ctx.Err() == nil {
		return nil
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, execution.ErrAbandoned):
		return newError(api.CodeCanceled, api.OutcomeRefused, "the caller went away")
	case errors.Is(cause, errStopping):
		return newRetryableError(api.CodeNotReady, "the gateway is stopping")
	default:
		return newRetryableError(api.CodeDeadline, "the request could not be done in the caller's time")
	}
}

// attemptsMade is the number of attempts so far that may have reached a replica.
func (r *runner) attemptsMade() int { return r.attemptsBefore + r.attemptsSent + r.remoteAttempts }

// deliver completes the execution with its result.
func (r *runner) deliver(final *execution.Result) {
	final.Attempts = r.attemptsSent + r.remoteAttempts
	if final.Failure != nil {
		final.Failure.RequestID = r.request.RequestID
	}
	r.execution.Finish(final)
}

// releaseReservation releases a reservation that was not used.
func (r *runner) releaseReservation() {
	if r.reservation != nil {
		r.reservation.Finish(routing.ResultCanceled, nil, time.Now())
		r.reservation = nil
	}
}
