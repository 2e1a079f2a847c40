package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/routing"
	"github.com/deckpulley/deckpulley/stream"
)

// attempt sends the request to one replica and judges what comes back.
func (r *runner) attempt(ctx context.Context, slot *routing.Reservation) verdict {
	attemptContext, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	body, err := json.Marshal(r.replicaRequest(slot))
	if err != nil {
		slot.Finish(routing.ResultCanceled, nil, time.Now())
		return broken(failed(api.CodeInternal, api.OutcomeRefused, "encoding the request: %v", err))
	}
	version := slot.Version
	guard := &sendGuard{gate: func() error { return r.gateway.maySend(slot, version) }}
	response, err := r.gateway.replicas.generate(attemptContext, slot.Address, body, !r.request.Repeatable, guard)
	if err != nil {
		return r.sendFailed(ctx, slot, guard)
	}
	defer response.Body.Close()
	r.noteSent()
	return r.receive(attemptContext, cancel, slot, response)
}

func (r *runner) replicaRequest(slot *routing.Reservation) *api.ReplicaRequest {
	version := slot.Version
	if planted.Active(planted.StepBack) && r.stale == 0 && version > 1 && r.request.PromptTokens%16 == 0 {
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
			Serial:               slot.Serial,
			Gateway:              r.gateway.options.Info.Name,
			Incarnation:          r.gateway.options.Info.Incarnation,
			ReplicaIncarnation:   slot.Incarnation,
			Attempt:              r.made() + 1,
		},
	}
}

func (r *runner) noteSent() {
	r.sent++
	r.spare = false
	r.route.Attempt = r.made() + 1
	if r.made() == 1 {
		r.gateway.router.RecordAttempt()
	}
	r.gateway.metrics.attempts.Inc()
}

// sendFailed judges an attempt without an answer.
func (r *runner) sendFailed(ctx context.Context, slot *routing.Reservation, guard *sendGuard) verdict {
	sent, denied := guard.settle()
	if denied != nil {
		slot.Finish(routing.ResultNotStarted, nil, time.Now())
		failure := refusedLater(api.CodeNoLease, "%v", denied)
		return verdict{standing: stoodNotStarted, failure: failure, local: true, unsent: true}
	}
	if sent {
		r.noteSent()
		return r.unanswered(ctx, slot)
	}
	verdictResult := routing.ResultFailed
	if ctx.Err() != nil {
		verdictResult = routing.ResultCanceled
	} else {
		r.gateway.suspect(slot)
	}
	slot.Finish(verdictResult, nil, time.Now())
	failure := refusedLater(api.CodeNoCapacity, "no replica could be reached")
	return verdict{standing: stoodNotStarted, failure: failure, unsent: true}
}

// unanswered judges an attempt whose request left, at least in part.
func (r *runner) unanswered(ctx context.Context, slot *routing.Reservation) verdict {
	if ctx.Err() != nil {
		slot.Finish(routing.ResultCanceled, nil, time.Now())
		return r.broken(failed(api.CodeDeadline, api.OutcomeUnknown, "the replica did not answer in time"))
	}
	r.gateway.suspect(slot)
	slot.Finish(routing.ResultFailed, nil, time.Now())
	return r.broken(failed(api.CodeReplicaBroken, api.OutcomeUnknown, "the connection to the replica broke before its answer"))
}

// broken notes that an attempt may have run.
func (r *runner) broken(failure *api.Error) verdict {
	r.ran = true
	r.broke = failure
	return broken(failure)
}

// receive judges an answer and delivers it if it is whole and this request's.
func (r *runner) receive(ctx context.Context, cancel context.CancelCauseFunc, slot *routing.Reservation, response *http.Response) verdict {
	if response.StatusCode != http.StatusOK {
		return r.settle(ctx, slot, checkError(response, r.request.RequestID))
	}
	if !r.request.Stream {
		return r.receiveWhole(ctx, slot, response)
	}
	if !isStream(response) {
		_, failure := checkAnswer(response, r.request.RequestID)
		if failure == nil {
			failure = failed(api.CodeReplicaError, api.OutcomeFailed, "the replica did not answer with a stream")
		}
		return r.settle(ctx, slot, broken(failure))
	}
	return r.receiveStream(ctx, cancel, slot, response)
}

// settle accounts for an attempt that brought no answer.
func (r *runner) settle(ctx context.Context, slot *routing.Reservation, outcome verdict) verdict {
	accounted := routing.ResultFailed
	switch {
	case outcome.standing == stoodStale || outcome.standing == stoodRestarted:
		accounted = routing.ResultNotStarted
		r.voided++
	case outcome.standing == stoodNotStarted:
		accounted = routing.ResultNotStarted
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled):
		accounted = routing.ResultCanceled
	}
	if outcome.standing == stoodBroken {
		outcome = r.broken(outcome.failure)
	}
	if outcome.standing == stoodRestarted || (ctx.Err() == nil && connectionBroke(outcome)) {
		r.gateway.suspect(slot)
	}
	slot.Finish(accounted, nil, time.Now())
	if outcome.failure.Code == api.CodeReplicaDraining {
		r.gateway.pollNow(slot.Replica) // so that nobody else is sent there
	}
	r.gateway.metrics.noteAttempt(outcome.failure)
	return outcome
}

func (r *runner) receiveWhole(ctx context.Context, slot *routing.Reservation, response *http.Response) verdict {
	answer, failure := checkAnswer(response, r.request.RequestID)
	if failure != nil {
		return r.settle(ctx, slot, broken(failure))
	}
	now := time.Now()
	report := answer.Report
	answer.Report = nil
	slot.RecordCachedTokens(answer.CachedTokens)
	slot.Finish(routing.ResultSuccess, report, now)
	r.gateway.noteReport(r.route.Service, report)
	answer.Replica = slot.Replica
	answer.Region = r.gateway.region()
	answer.ConfigurationVersion = slot.Version
	r.deliver(&result{answer: answer})
	return verdict{standing: stoodDone}
}

// receiveStream relays a stream event by event. From the first event on there is
// no other attempt.
func (r *runner) receiveStream(ctx context.Context, cancel context.CancelCauseFunc, slot *routing.Reservation, response *http.Response) verdict {
	reader := stream.NewReader(response.Body, stream.Options{
		RequestID:   r.request.RequestID,
		IdleTimeout: r.gateway.streamGap(),
		Interrupt:   func() { cancel(errStalled) },
	})
	defer reader.Close()
	for {
		event, err := reader.Next()
		if err != nil {
			return r.streamBroke(ctx, slot, streamFailure(err, reader.Chunks()))
		}
		switch {
		case event.Error != nil:
			return r.streamBroke(ctx, slot, failed(api.CodeReplicaError, api.OutcomeFailed, "the replica ended its stream with an error"))
		case event.End != nil:
			r.streamEnded(slot, event.End)
			return verdict{standing: stoodDone}
		}
		if reader.Chunks() == 1 {
			slot.RecordFirstToken(time.Now())
		}
		if err := r.execution.piece(ctx, event.Chunk); err != nil {
			return r.streamBroke(ctx, slot, streamFailure(err, reader.Chunks()))
		}
	}
}

// streamBroke ends a stream that is not whole. Once the caller may have seen a
// piece, the failure is its result.
func (r *runner) streamBroke(ctx context.Context, slot *routing.Reservation, failure *api.Error) verdict {
	outcome := r.settle(ctx, slot, broken(failure))
	if !r.execution.pieces() || planted.Active(planted.JoinRuns) {
		return outcome
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		outcome.failure = failed(api.CodeDeadline, api.OutcomeFailed, "the stream was not whole in the caller's time")
	}
	r.deliver(&result{failure: outcome.failure})
	return verdict{standing: stoodDone}
}

func (r *runner) streamEnded(slot *routing.Reservation, end *api.StreamEnd) {
	report := end.Report
	end.Report = nil
	slot.RecordCachedTokens(end.CachedTokens)
	slot.Finish(routing.ResultSuccess, report, time.Now())
	r.gateway.noteReport(r.route.Service, report)
	end.Replica = slot.Replica
	end.Region = r.gateway.region()
	end.ConfigurationVersion = slot.Version
	r.deliver(&result{end: end})
}
