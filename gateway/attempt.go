package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/gateway/execution"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/routing"
	"github.com/deckpulley/deckpulley/stream"
)

// attempt sends the request to the replica of the reservation and delivers the
// response, or classifies the failure.
func (r *runner) attempt(ctx context.Context, reservation *routing.Reservation) attemptResult {
	attemptContext, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	body, err := json.Marshal(r.replicaRequest(reservation))
	if err != nil {
		reservation.Finish(routing.ResultCanceled, nil, time.Now())
		return indeterminate(newError(api.CodeInternal, api.OutcomeRefused, "encoding the request: %v", err))
	}
	version := reservation.Version
	guard := &sendGuard{check: func() error { return r.gateway.checkBeforeSend(reservation, version) }}
	response, err := r.gateway.replicas.generate(attemptContext, reservation.Address, body, !r.request.Repeatable, guard)
	if err != nil {
		return r.classifyRoundTripError(ctx, reservation, guard)
	}
	defer response.Body.Close()
	r.recordSent()
	return r.receive(attemptContext, cancel, reservation, response)
}

// replicaRequest returns the request in the format of the replica API. Its stamp
// identifies the configuration, the gateway and the attempt.
func (r *runner) replicaRequest(reservation *routing.Reservation) *api.ReplicaRequest {
	version := reservation.Version
	if planted.Active(planted.StepBack) && r.staleRefusals == 0 && version > 1 && r.request.PromptTokens%16 == 0 {
		version--
	}
	return &api.ReplicaRequest{
		RequestID:    r.request.RequestID,
		Model:        r.request.Model,
		Class:        r.route.Class,
		Prefixes:     r.request.Prefixes,
		PromptTokens: r.request.PromptTokens,
		MaxTokens:    r.request.MaxTokens,
		Stream:       r.request.Stream,
		TimeLeftMS:   max(1, time.Until(r.route.Deadline).Milliseconds()),
		Stamp: api.Stamp{
			ConfigurationVersion: version,
			Serial:               reservation.Serial,
			Gateway:              r.gateway.options.Info.Name,
			Incarnation:          r.gateway.options.Info.Incarnation,
			ReplicaIncarnation:   reservation.Incarnation,
			Attempt:              r.attemptsMade() + 1,
		},
	}
}

// recordSent counts an attempt of which at least one byte may have been sent.
func (r *runner) recordSent() {
	r.attemptsSent++
	r.retryAvailable = false
	r.route.Attempt = r.attemptsMade() + 1
	if r.attemptsMade() == 1 {
		r.gateway.router.RecordAttempt()
	}
	r.gateway.metrics.attempts.Inc()
}

// classifyRoundTripError finishes an attempt for which replicaClient.generate returned
// an error instead of a response. The guard determines what is known of it:
//   - denied by checkBeforeSend: nothing was sent. Every denial is reported as no_lease,
//     also when the placement was outdated rather than the lease expired.
//   - sent, at least in part: the replica may have run it.
//   - otherwise nothing was sent, usually because the replica could not be dialed.
func (r *runner) classifyRoundTripError(ctx context.Context, reservation *routing.Reservation, guard *sendGuard) attemptResult {
	sent, denied := guard.close()
	if denied != nil {
		reservation.Finish(routing.ResultNotStarted, nil, time.Now())
		failure := newRetryableError(api.CodeNoLease, "%v", denied)
		return attemptResult{status: statusNotStarted, failure: failure, denied: true, unsent: true}
	}
	if sent {
		r.recordSent()
		return r.classifyMissingResponse(ctx, reservation)
	}
	recorded := routing.ResultFailed
	if ctx.Err() != nil {
		recorded = routing.ResultCanceled
	} else {
		r.gateway.suspectReplica(reservation)
	}
	reservation.Finish(recorded, nil, time.Now())
	failure := newRetryableError(api.CodeNoCapacity, "the selected replica could not be reached")
	return notSent(failure)
}

// classifyMissingResponse finishes an attempt whose request was sent, at least in part,
// but to which the replica did not respond.
func (r *runner) classifyMissingResponse(ctx context.Context, reservation *routing.Reservation) attemptResult {
	if ctx.Err() != nil {
		reservation.Finish(routing.ResultCanceled, nil, time.Now())
		return r.recordIndeterminate(newError(api.CodeDeadline, api.OutcomeUnknown, "the replica did not respond in time"))
	}
	r.gateway.suspectReplica(reservation)
	reservation.Finish(routing.ResultFailed, nil, time.Now())
	return r.recordIndeterminate(newError(api.CodeReplicaBroken, api.OutcomeUnknown, "the connection to the replica broke before it responded"))
}

// recordIndeterminate records that an attempt may have run, and why its outcome is not
// known.
func (r *runner) recordIndeterminate(failure *api.Error) attemptResult {
	r.mayHaveRun = true
	r.indeterminateFailure = failure
	return indeterminate(failure)
}

// receive delivers the answer in a response if it is complete and belongs to the
// request. Otherwise it classifies the failure.
func (r *runner) receive(ctx context.Context, cancel context.CancelCauseFunc, reservation *routing.Reservation, response *http.Response) attemptResult {
	if response.StatusCode != http.StatusOK {
		return r.recordFailure(ctx, reservation, classifyErrorResponse(response, r.request.RequestID))
	}
	if !r.request.Stream {
		return r.receiveAnswer(ctx, reservation, response)
	}
	if !isEventStream(response) {
		_, failure := readAnswer(response, r.request.RequestID)
		if failure == nil {
			failure = newError(api.CodeReplicaError, api.OutcomeFailed, "the replica did not respond with an event stream")
		}
		return r.recordFailure(ctx, reservation, indeterminate(failure))
	}
	return r.receiveStream(ctx, cancel, reservation, response)
}

// recordFailure finishes an attempt that got a response without a valid answer. It
// triggers a poll of the replica if the replica's state may have changed.
func (r *runner) recordFailure(ctx context.Context, reservation *routing.Reservation, outcome attemptResult) attemptResult {
	recorded := routing.ResultFailed
	switch {
	case outcome.status == statusStaleConfiguration || outcome.status == statusReplicaRestarted:
		recorded = routing.ResultNotStarted
		r.attemptsVoided++
	case outcome.status == statusNotStarted:
		recorded = routing.ResultNotStarted
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled):
		recorded = routing.ResultCanceled
	}
	if outcome.status == statusIndeterminate {
		outcome = r.recordIndeterminate(outcome.failure)
	}
	if outcome.status == statusReplicaRestarted || (ctx.Err() == nil && isConnectionFailure(outcome)) {
		r.gateway.suspectReplica(reservation)
	}
	reservation.Finish(recorded, nil, time.Now())
	if outcome.failure.Code == api.CodeReplicaDraining {
		r.gateway.pollNow(reservation.Replica) // so that no further requests are sent to it
	}
	r.gateway.metrics.observeAttemptFailure(outcome.failure)
	return outcome
}

// receiveAnswer delivers an answer that is not streamed.
func (r *runner) receiveAnswer(ctx context.Context, reservation *routing.Reservation, response *http.Response) attemptResult {
	answer, failure := readAnswer(response, r.request.RequestID)
	if failure != nil {
		return r.recordFailure(ctx, reservation, indeterminate(failure))
	}
	now := time.Now()
	report := answer.Report
	answer.Report = nil
	reservation.RecordCachedTokens(answer.CachedTokens)
	reservation.Finish(routing.ResultSuccess, report, now)
	r.gateway.recordReportedVersion(r.route.Service, report)
	answer.Replica = reservation.Replica
	answer.Region = r.gateway.region()
	answer.ConfigurationVersion = reservation.Version
	r.deliver(&execution.Result{Answer: answer})
	return attemptResult{status: statusDelivered}
}

// receiveStream copies the events of a stream to the execution. Once the first event
// was copied, a failure ends the request without another attempt.
func (r *runner) receiveStream(ctx context.Context, cancel context.CancelCauseFunc, reservation *routing.Reservation, response *http.Response) attemptResult {
	reader := stream.NewReader(response.Body, stream.Options{
		RequestID:   r.request.RequestID,
		IdleTimeout: r.gateway.streamIdleTimeout(),
		Interrupt:   func() { cancel(errStalled) },
	})
	defer reader.Close()
	for {
		event, err := reader.Next()
		if err != nil {
			return r.failStream(ctx, reservation, classifyStreamError(err, reader.Chunks()))
		}
		switch {
		case event.Error != nil:
			return r.failStream(ctx, reservation, newError(api.CodeReplicaError, api.OutcomeFailed, "the replica ended its stream with an error"))
		case event.End != nil:
			r.completeStream(reservation, event.End)
			return attemptResult{status: statusDelivered}
		}
		if reader.Chunks() == 1 {
			reservation.RecordFirstToken(time.Now())
		}
		if err := r.execution.AppendChunk(ctx, event.Chunk); err != nil {
			return r.failStream(ctx, reservation, classifyStreamError(err, reader.Chunks()))
		}
	}
}

// failStream finishes an attempt whose stream is incomplete. If the caller may have
// received a chunk, the failure is delivered as the result of the request.
func (r *runner) failStream(ctx context.Context, reservation *routing.Reservation, failure *api.Error) attemptResult {
	outcome := r.recordFailure(ctx, reservation, indeterminate(failure))
	if !r.execution.HasOutput() || planted.Active(planted.JoinRuns) {
		return outcome
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		outcome.failure = newError(api.CodeDeadline, api.OutcomeFailed, "the stream was not complete by the caller's deadline")
	}
	r.deliver(&execution.Result{Failure: outcome.failure})
	return attemptResult{status: statusDelivered}
}

// completeStream delivers the final event of a complete stream.
func (r *runner) completeStream(reservation *routing.Reservation, end *api.StreamEnd) {
	report := end.Report
	end.Report = nil
	reservation.RecordCachedTokens(end.CachedTokens)
	reservation.Finish(routing.ResultSuccess, report, time.Now())
	r.gateway.recordReportedVersion(r.route.Service, report)
	end.Replica = reservation.Replica
	end.Region = r.gateway.region()
	end.ConfigurationVersion = reservation.Version
	r.deliver(&execution.Result{End: end})
}
