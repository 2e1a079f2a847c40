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

// plantedExtraTime is added to the deadline of a request by planted.RunAfterRefusal.
const plantedExtraTime = 10 * time.Second

// errStalled is the cause with which an attempt is canceled by the idle timeout of its
// stream.
var errStalled = errors.New("gateway: idle timeout of the stream")

// runner makes the attempts for one request until it has a result. It is used by one
// goroutine only.
type runner struct {
	gateway   *Gateway
	request   api.GenerateRequest
	route     routing.Request
	execution *execution.Execution
	// reservation is the reservation for the first attempt if it was made in advance, for
	// an offer; nil otherwise.
	reservation *routing.Reservation
	// forwarded means that another gateway forwarded the request to this one. It must not
	// be forwarded again.
	forwarded bool
	// attemptsBefore counts the attempts made before the request was forwarded to this
	// gateway.
	attemptsBefore int
	// attemptsSent counts the attempts by this gateway of which at least one byte may have
	// been sent to a replica.
	attemptsSent int
	// attemptsVoided counts those of attemptsSent that a replica refused because of an old
	// configuration version or incarnation in the stamp. The attempt after such a refusal
	// is not a retry.
	attemptsVoided int
	// remoteAttempts counts the attempts by other gateways that may have reached a replica.
	remoteAttempts int
	// unsentAttempts is limited by maxUnsentAttempts, staleRefusals by maxStaleRefusals.
	unsentAttempts int
	staleRefusals  int
	// retryRequested means that the only retry of the request was requested from the retry
	// budget, retryAvailable that it was allowed and is not used yet.
	retryRequested bool
	retryAvailable bool
	// mayHaveRun means that an earlier attempt may have run, so that the outcome must no
	// longer be api.OutcomeRefused. indeterminateFailure is the error of that attempt if it
	// was made by this runner.
	mayHaveRun           bool
	indeterminateFailure *api.Error
}

// run makes the attempts for the request. When it returns, the execution has a result.
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

// fail delivers the error of a request. If the context has ended, its cause replaces the
// error.
func (r *runner) fail(ctx context.Context, failure *api.Error) {
	if cause := r.contextFailure(ctx); cause != nil {
		if failure.Outcome == api.OutcomeFailed {
			cause.Outcome = api.OutcomeFailed
		}
		failure = cause
	}
	copied := *failure
	if r.mayHaveRun && copied.Outcome == api.OutcomeRefused {
		copied.Outcome = api.OutcomeUnknown
		if r.indeterminateFailure != nil && ctx.Err() == nil {
			copied = *r.indeterminateFailure // the failure of the attempt, not the reason why there was no retry
		}
	}
	r.setRetryAdvice(&copied)
	r.deliver(&execution.Result{Failure: &copied})
}

// setRetryAdvice sets whether the caller should retry, and after which delay. A request
// that may have run and is not repeatable must not be retried.
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

// contextFailure returns the error for the reason why the context ended, or nil if it has
// not ended. The error has the outcome refused, which the caller corrects if the request
// may have run.
func (r *runner) contextFailure(ctx context.Context) *api.Error {
	if ctx.Err() == nil {
		return nil
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, execution.ErrAbandoned):
		return newError(api.CodeCanceled, api.OutcomeRefused, "the caller disconnected")
	case errors.Is(cause, errStopping):
		return newRetryableError(api.CodeNotReady, "the gateway is stopping")
	default:
		return newRetryableError(api.CodeDeadline, "the request was not completed by the caller's deadline")
	}
}

// attemptsMade returns the number of attempts so far that may have reached a replica,
// including those of other gateways.
func (r *runner) attemptsMade() int { return r.attemptsBefore + r.attemptsSent + r.remoteAttempts }

// deliver finishes the execution with the given result.
func (r *runner) deliver(final *execution.Result) {
	final.Attempts = r.attemptsSent + r.remoteAttempts
	if final.Failure != nil {
		final.Failure.RequestID = r.request.RequestID
	}
	r.execution.Finish(final)
}

// releaseReservation releases the reservation for the first attempt if it was not used.
func (r *runner) releaseReservation() {
	if r.reservation != nil {
		r.reservation.Finish(routing.ResultCanceled, nil, time.Now())
		r.reservation = nil
	}
}
