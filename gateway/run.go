package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/routing"
	"github.com/deckpulley/deckpulley/stream"
)

// Bounds of one request's attempts.
const (
	// maxUnsent bounds attempts of which nothing left for a replica.
	maxUnsent = 8
	// maxStale bounds catching up with replicas that saw a newer configuration.
	maxStale = 3
	// staleWait bounds the wait for a newer configuration to become active.
	staleWait = time.Second
	// Backoff before a repeated attempt: doubled each time, with full jitter.
	firstBackoff = 20 * time.Millisecond
	lastBackoff  = 500 * time.Millisecond
	// displacedWait bounds how long a request is offered to other regions while
	// its own takes nothing, and displacedPause is the longest time between two
	// rounds of offers.
	displacedWait  = 5 * time.Second
	displacedPause = 100 * time.Millisecond
	// comeBack is told with refusals that will pass soon.
	comeBack = 500 * time.Millisecond
)

// errStalled is the cause of a cancellation by a stream's gap.
var errStalled = errors.New("gateway: the stream stalled")

// errStopping is the cause of a cancellation by the end of the process.
var errStopping = errors.New("gateway: stopping")

// runner takes one request to its result. It is used by one goroutine.
type runner struct {
	gateway   *Gateway
	request   api.GenerateRequest
	route     routing.Request
	execution *execution
	// slot is a reservation made before, for the first attempt.
	slot *routing.Slot
	// spilled means that the request came from another region and stays here.
	spilled bool
	// before is the number of attempts made in the region that the request came from.
	before int
	sent   int // attempts of which a byte may have left
	hops   int // runs in other regions that may have reached a replica
	unsent int
	stale  int
	// retried means that the request's one retry was asked for; spare that it
	// was allowed and nothing has been sent for it yet.
	retried bool
	spare   bool
	// ran means that an earlier attempt may have run, so that nothing is a
	// refusal any more. broke is how it went wrong, if it went wrong here.
	ran   bool
	broke *api.Error
}

// run returns when the execution has its result.
func (r *runner) run(ctx context.Context) {
	if failure := r.place(ctx); failure != nil {
		r.fail(ctx, failure)
	}
}

// fail delivers why there is no answer.
func (r *runner) fail(ctx context.Context, failure *api.Error) {
	if cause := r.interrupted(ctx); cause != nil {
		if failure.Outcome == api.OutcomeFailed {
			cause.Outcome = api.OutcomeFailed
		}
		failure = cause
	}
	copied := *failure
	if r.ran && copied.Outcome == api.OutcomeRefused {
		copied.Outcome = api.OutcomeUnknown
		if r.broke != nil && ctx.Err() == nil {
			copied = *r.broke // what went wrong, not why there was no second try
		}
	}
	r.adviseRetry(&copied)
	r.deliver(&result{failure: &copied})
}

// adviseRetry tells the caller when to come back, if that may help.
func (r *runner) adviseRetry(failure *api.Error) {
	if r.request.Repeatable && failure.Outcome != api.OutcomeRefused {
		failure.Retry = true
	}
	if failure.Retry && failure.RetryAfterMS == 0 {
		failure.RetryAfterMS = comeBack.Milliseconds()
	}
}

func (r *runner) deliver(final *result) {
	if final.failure != nil {
		final.failure.RequestID = r.request.RequestID
	}
	r.execution.finish(final)
}

// interrupted is the result of a request whose context ended, as if it never
// ran; nil if the context has not ended.
func (r *runner) interrupted(ctx context.Context) *api.Error {
	if ctx.Err() == nil {
		return nil
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errAbandoned):
		return failed(api.CodeCanceled, api.OutcomeRefused, "the caller went away")
	case errors.Is(cause, errStopping):
		return refusedLater(api.CodeNotReady, comeBack, "the gateway is stopping")
	default:
		return refusedLater(api.CodeDeadline, comeBack, "the request could not be done in the caller's time")
	}
}

// place returns nil once the result is delivered, otherwise why there is none.
// A request that cannot wait in the queue of its own region, which is evacuated
// or has lost its replicas, is offered to the others until one has room.
func (r *runner) place(ctx context.Context) *api.Error {
	waited := time.Duration(0)
	patience := min(displacedWait, time.Until(r.route.Deadline)/2)
	for {
		failure := r.placeOnce(ctx)
		if failure == nil || waited >= patience || !r.displaced(failure) {
			return failure
		}
		pause := displacedPause/2 + r.gateway.jitter(displacedPause/2)
		if !sleep(ctx, pause) {
			return failure
		}
		waited += pause
	}
}

// displaced tells that nothing was sent, that the own region takes nothing, and
// that another one may soon have room.
func (r *runner) displaced(failure *api.Error) bool {
	if r.spilled || r.ran || r.sent+r.hops > 0 {
		return false
	}
	if failure.Code != api.CodeOverloaded && failure.Code != api.CodeNoCapacity {
		return false
	}
	regions := r.gateway.router.Regions(r.route)
	return len(regions) > 0 && !slices.Contains(regions, r.gateway.region())
}

// placeOnce tries the regions in order.
func (r *runner) placeOnce(ctx context.Context) *api.Error {
	regions := []string{r.gateway.region()}
	if !r.spilled {
		regions = r.gateway.router.Regions(r.route)
	}
	if len(regions) == 0 {
		return r.gateway.router.Refusal(r.route)
	}
	var last *api.Error
	for _, region := range regions {
		if ctx.Err() != nil || (r.sent+r.hops > 0 && !r.mayRetry()) {
			break
		}
		outcome := r.placeIn(ctx, region)
		if outcome.standing == stoodDone {
			return nil
		}
		final := outcome.standing == stoodBroken && !r.request.Repeatable
		if last == nil || outcome.standing == stoodBroken {
			last = outcome.failure
		}
		if final || pointless(outcome.failure) {
			break
		}
	}
	if last == nil {
		return failed(api.CodeDeadline, api.OutcomeRefused, "no time is left")
	}
	return last
}

// mayRetry spends the retry budget. A retry is never retried.
func (r *runner) mayRetry() bool {
	if r.spare {
		return true
	}
	allowed := !r.retried && r.gateway.router.AllowRetry()
	r.retried = true
	r.spare = allowed
	label := "denied"
	if allowed {
		label = "allowed"
	}
	r.gateway.metrics.retries.WithLabelValues(label).Inc()
	return allowed
}

func (r *runner) placeIn(ctx context.Context, region string) verdict {
	if failure := r.gateway.mayPlace(); failure != nil {
		return verdict{standing: stoodNotStarted, failure: failure}
	}
	if region != r.gateway.region() {
		return r.spill(ctx, region)
	}
	return r.local(ctx)
}

// local makes attempts on replicas of the own region.
func (r *runner) local(ctx context.Context) verdict {
	for {
		if failure := r.catchUp(ctx); failure != nil {
			return verdict{standing: stoodNotStarted, failure: failure}
		}
		slot, elsewhere, failure := r.acquire(ctx)
		if failure != nil {
			return verdict{standing: stoodNotStarted, failure: failure}
		}
		if slot == nil {
			return elsewhere
		}
		outcome := r.attempt(ctx, slot)
		if outcome.standing == stoodDone || !r.again(ctx, slot, &outcome) {
			return outcome
		}
	}
}

// acquire waits for a replica of the own region. Without a slot and a failure,
// the request was run by another gateway of the region.
func (r *runner) acquire(ctx context.Context) (*routing.Slot, verdict, *api.Error) {
	if slot := r.slot; slot != nil {
		r.slot = nil
		return slot, verdict{}, nil
	}
	feeders := r.feeders()
	if len(feeders) > 0 {
		slot, failure := r.gateway.router.Reserve(r.route)
		if failure == nil {
			return slot, verdict{}, nil
		}
		if unusable(failure) {
			if outcome, taken := r.feed(ctx, feeders); taken {
				return nil, outcome, nil
			}
		}
	}
	slot, failure := r.gateway.router.Acquire(ctx, r.route)
	return slot, verdict{}, failure
}

// feeders are the other gateways of the region that feed cold replicas.
func (r *runner) feeders() []string {
	if r.spilled {
		return nil
	}
	return r.gateway.router.Feeders(r.route.Service)
}

// unusable tells that this gateway may place on no replica of the region.
func unusable(failure *api.Error) bool {
	return failure.Code == api.CodeNoCapacity || failure.Code == api.CodeHomeUnavailable
}

// feed offers the request to the gateways that feed cold replicas. It reports
// whether one of them took it.
func (r *runner) feed(ctx context.Context, feeders []string) (verdict, bool) {
	members := r.gateway.agent.Active().Gateways()
	for _, feeder := range feeders {
		member, known := members[feeder]
		if !known || !member.Up {
			continue
		}
		outcome := r.offer(ctx, member)
		if outcome.standing != stoodNotStarted || ctx.Err() != nil {
			return outcome, true
		}
	}
	return verdict{}, false
}

// again decides whether another attempt in this region follows an outcome, and
// waits before it as long as it must.
func (r *runner) again(ctx context.Context, slot *routing.Slot, outcome *verdict) bool {
	if ctx.Err() != nil {
		return false
	}
	switch {
	case outcome.local:
		r.unsent++
		return r.unsent < maxUnsent && r.gateway.mayPlace() == nil
	case outcome.standing == stoodStale:
		r.stale++
		outcome.standing = stoodNotStarted
		return r.stale <= maxStale && r.gateway.learnVersion(ctx, r.route.Service, slot)
	case outcome.standing == stoodBroken && !r.request.Repeatable:
		return false
	case outcome.standing == stoodNotStarted && pointless(outcome.failure):
		return false
	}
	r.exclude(slot.Replica)
	if outcome.unsent {
		r.unsent++
		return r.unsent < maxUnsent
	}
	return r.mayRetry() && r.backoff(ctx)
}

// pointless tells that another replica would refuse alike.
func pointless(failure *api.Error) bool {
	switch failure.Code {
	case api.CodeInvalid, api.CodeTooLarge, api.CodeDeadline:
		return true
	default:
		return false
	}
}

func (r *runner) exclude(replica string) {
	if r.route.Exclude == nil {
		r.route.Exclude = make(map[string]bool)
	}
	r.route.Exclude[replica] = true
}

func (r *runner) backoff(ctx context.Context) bool {
	longest := min(firstBackoff<<min(r.sent, 8), lastBackoff)
	return sleep(ctx, r.gateway.jitter(longest))
}

// sleep reports whether the time passed before the context ended.
func sleep(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// catchUp waits, for a short time, until the newest configuration that replicas
// of the service have seen is active here. Nothing is placed by an older one.
func (r *runner) catchUp(ctx context.Context) *api.Error {
	version := r.gateway.seenVersion(r.route.Service)
	if r.gateway.agent.Proven(version) {
		return nil
	}
	waiting, cancel := context.WithTimeout(ctx, staleWait)
	defer cancel()
	if err := r.gateway.agent.AwaitVersion(waiting, version); err != nil {
		return refusedLater(api.CodeNoLease, comeBack, "a replica has seen configuration %d, which is not active here yet", version)
	}
	return nil
}

// attempt sends the request to one replica and judges what comes back.
func (r *runner) attempt(ctx context.Context, slot *routing.Slot) verdict {
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

func (r *runner) replicaRequest(slot *routing.Slot) *api.ReplicaRequest {
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
			ConfigurationVersion: slot.Version,
			Serial:               slot.Serial,
			Gateway:              r.gateway.options.Info.Name,
			Incarnation:          r.gateway.options.Info.Incarnation,
			Attempt:              r.before + r.sent + 1,
		},
	}
}

func (r *runner) noteSent() {
	r.sent++
	r.spare = false
	r.route.Attempt = r.before + r.sent + 1
	if r.before+r.sent == 1 {
		r.gateway.router.NoteAttempt()
	}
	r.gateway.metrics.attempts.Inc()
}

// sendFailed judges an attempt without an answer.
func (r *runner) sendFailed(ctx context.Context, slot *routing.Slot, guard *sendGuard) verdict {
	sent, denied := guard.settle()
	if denied != nil {
		slot.Finish(routing.ResultNotStarted, nil, time.Now())
		failure := refusedLater(api.CodeNoLease, comeBack, "%v", denied)
		return verdict{standing: stoodNotStarted, failure: failure, local: true, unsent: true}
	}
	if sent {
		r.noteSent()
		return r.unanswered(ctx, slot)
	}
	verdictResult := routing.ResultFailed
	if ctx.Err() != nil {
		verdictResult = routing.ResultCanceled
	}
	slot.Finish(verdictResult, nil, time.Now())
	failure := refusedLater(api.CodeNoCapacity, comeBack, "no replica could be reached")
	return verdict{standing: stoodNotStarted, failure: failure, unsent: true}
}

// unanswered judges an attempt whose request left, at least in part.
func (r *runner) unanswered(ctx context.Context, slot *routing.Slot) verdict {
	if ctx.Err() != nil {
		slot.Finish(routing.ResultCanceled, nil, time.Now())
		return r.broken(failed(api.CodeDeadline, api.OutcomeUnknown, "the replica did not answer in time"))
	}
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
func (r *runner) receive(ctx context.Context, cancel context.CancelCauseFunc, slot *routing.Slot, response *http.Response) verdict {
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
func (r *runner) settle(ctx context.Context, slot *routing.Slot, outcome verdict) verdict {
	accounted := routing.ResultFailed
	switch {
	case outcome.standing == stoodNotStarted || outcome.standing == stoodStale:
		accounted = routing.ResultNotStarted
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled):
		accounted = routing.ResultCanceled
	}
	if outcome.standing == stoodBroken {
		outcome = r.broken(outcome.failure)
	}
	slot.Finish(accounted, nil, time.Now())
	r.gateway.metrics.noteAttempt(outcome.failure)
	return outcome
}

func (r *runner) receiveWhole(ctx context.Context, slot *routing.Slot, response *http.Response) verdict {
	answer, failure := checkAnswer(response, r.request.RequestID)
	if failure != nil {
		return r.settle(ctx, slot, broken(failure))
	}
	now := time.Now()
	report := answer.Report
	answer.Report = nil
	slot.CachedTokens(answer.CachedTokens)
	slot.Finish(routing.ResultSuccess, report, now)
	r.gateway.noteReport(slot, report)
	answer.Replica = slot.Replica
	answer.Region = r.gateway.region()
	answer.ConfigurationVersion = slot.Version
	r.deliver(&result{answer: answer})
	return verdict{standing: stoodDone}
}

// receiveStream relays a stream event by event. From the first event on there is
// no other attempt.
func (r *runner) receiveStream(ctx context.Context, cancel context.CancelCauseFunc, slot *routing.Slot, response *http.Response) verdict {
	reader := stream.NewReader(response.Body, stream.Options{
		RequestID: r.request.RequestID,
		Gap:       r.gateway.streamGap(),
		Interrupt: func() { cancel(errStalled) },
	})
	defer reader.Close()
	for {
		event, err := reader.Next()
		if err != nil {
			return r.streamBroke(ctx, slot, streamFailure(err, reader.Pieces()))
		}
		switch {
		case event.Error != nil:
			return r.streamBroke(ctx, slot, failed(api.CodeReplicaError, api.OutcomeFailed, "the replica ended its stream with an error"))
		case event.End != nil:
			r.streamEnded(slot, event.End)
			return verdict{standing: stoodDone}
		}
		if reader.Pieces() == 1 {
			slot.FirstToken(time.Now())
		}
		if err := r.execution.piece(ctx, event.Piece); err != nil {
			return r.streamBroke(ctx, slot, streamFailure(err, reader.Pieces()))
		}
	}
}

// streamBroke ends a stream that is not whole. Once the caller may have seen a
// piece, the failure is its result.
func (r *runner) streamBroke(ctx context.Context, slot *routing.Slot, failure *api.Error) verdict {
	outcome := r.settle(ctx, slot, broken(failure))
	if !r.execution.pieces() {
		return outcome
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		outcome.failure = failed(api.CodeDeadline, api.OutcomeFailed, "the stream was not whole in the caller's time")
	}
	r.deliver(&result{failure: outcome.failure})
	return verdict{standing: stoodDone}
}

func (r *runner) streamEnded(slot *routing.Slot, end *api.StreamEnd) {
	report := end.Report
	end.Report = nil
	slot.CachedTokens(end.CachedTokens)
	slot.Finish(routing.ResultSuccess, report, time.Now())
	r.gateway.noteReport(slot, report)
	end.Replica = slot.Replica
	end.Region = r.gateway.region()
	end.ConfigurationVersion = slot.Version
	r.deliver(&result{end: end})
}
