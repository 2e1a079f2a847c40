package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/routing"
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
	// displacedWait bounds how long a request waits for room in other regions
	// while its own takes nothing, and maxDisplaced how many do so at once.
	displacedWait = 5 * time.Second
	maxDisplaced  = 512
	// spillWait bounds the wait in a less loaded region's queue.
	spillWait = 2 * time.Second
	// comeBack is told with refusals that will pass soon.
	comeBack = 500 * time.Millisecond
	// lateRun is the time that planted.RunAfterRefusal adds to a request's own.
	lateRun = 10 * time.Second
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
	slot *routing.Reservation
	// spilled means that the request came from another region and stays here.
	spilled bool
	// before is the number of attempts made in the region that the request came from.
	before int
	sent   int // attempts of which a byte may have left
	voided int // those of them that a replica refused for what placed them
	hops   int // attempts in other regions that may have reached a replica
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
	failure := r.place(ctx)
	if failure == nil {
		return
	}
	r.fail(ctx, failure)
	if planted.Active(planted.RunAfterRefusal) {
		r.route.Deadline = r.route.Deadline.Add(lateRun)
		_ = r.place(r.gateway.work)
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

// adviseRetry tells the caller when to come back, if that may help and cannot
// repeat what must not be.
func (r *runner) adviseRetry(failure *api.Error) {
	if failure.Outcome != api.OutcomeRefused {
		failure.Retry = r.request.Repeatable
	}
	switch {
	case !failure.Retry:
		failure.RetryAfterMS = 0
	case failure.RetryAfterMS == 0:
		failure.RetryAfterMS = comeBack.Milliseconds()
	}
}

// made is the number of attempts so far that may have reached a replica.
func (r *runner) made() int { return r.before + r.sent + r.hops }

func (r *runner) deliver(final *result) {
	final.attempts = r.sent + r.hops
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
		return refusedLater(api.CodeNotReady, "the gateway is stopping")
	default:
		return refusedLater(api.CodeDeadline, "the request could not be done in the caller's time")
	}
}

// place returns nil once the result is delivered, otherwise why there is none.
// A request that cannot wait in the queue of its own region, which is evacuated
// or has lost its replicas, waits in those of the others if none has room at
// once. Whoever finds no place in any queue has his answer at once.
func (r *runner) place(ctx context.Context) *api.Error {
	failure := r.placeOnce(ctx, 0)
	if failure == nil || !r.displaced(failure) {
		return failure
	}
	if !r.gateway.displaced.enter() {
		return failure
	}
	defer r.gateway.displaced.leave()
	return r.placeOnce(ctx, min(displacedWait, time.Until(r.route.Deadline)/2))
}

// displaced tells that nothing was sent, that the own region takes nothing, and
// that another one may soon have room.
func (r *runner) displaced(failure *api.Error) bool {
	if r.spilled || r.ran || r.tried() {
		return false
	}
	if failure.Code != api.CodeOverloaded && failure.Code != api.CodeNoCapacity {
		return false
	}
	regions := r.gateway.router.Regions(r.route)
	return len(regions) > 0 && !slices.Contains(regions, r.gateway.region())
}

// placeOnce tries the regions in order, and waits for room in the others for the
// given time at most.
func (r *runner) placeOnce(ctx context.Context, patience time.Duration) *api.Error {
	end := time.Now().Add(patience)
	regions := []string{r.gateway.region()}
	if !r.spilled {
		regions = r.gateway.router.Regions(r.route)
	}
	if len(regions) == 0 {
		return r.gateway.router.Rejection(r.route)
	}
	var last *api.Error
	for position, region := range regions {
		if ctx.Err() != nil || (r.tried() && !r.mayRetry()) {
			break
		}
		wait := max(0, time.Until(end)) / time.Duration(len(regions)-position)
		if patience == 0 && position == 0 {
			wait = r.drawnWait(regions)
		}
		outcome := r.placeIn(ctx, region, wait)
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

// drawnWait is how long a request that was drawn to be spilled, because the first
// region has less to do than its own, may wait there before its own queue.
func (r *runner) drawnWait(regions []string) time.Duration {
	own := r.gateway.region()
	if regions[0] == own || !slices.Contains(regions, own) {
		return 0
	}
	return min(spillWait, time.Until(r.route.Deadline)/4)
}

// tried tells that there was an attempt that counts: another one is a retry.
func (r *runner) tried() bool { return r.sent-r.voided+r.hops > 0 }

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

func (r *runner) placeIn(ctx context.Context, region string, wait time.Duration) verdict {
	if failure := r.gateway.mayPlace(); failure != nil {
		return verdict{standing: stoodNotStarted, failure: failure}
	}
	if region != r.gateway.region() {
		return r.spill(ctx, region, wait)
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
		if outcome.standing == stoodDone || !r.again(ctx, slot, outcome) {
			return outcome.settled()
		}
	}
}

// acquire waits for a replica of the own region. Without a slot and a failure,
// the request was run by another gateway of the region.
func (r *runner) acquire(ctx context.Context) (*routing.Reservation, verdict, *api.Error) {
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
	return r.gateway.router.WarmupGateways(r.route.Service)
}

// unusable tells that this gateway may place on no replica of the region.
func unusable(failure *api.Error) bool {
	return failure.Code == api.CodeNoCapacity || failure.Code == api.CodeHomeUnavailable
}

// feed offers the request to the gateways that feed cold replicas. It reports
// whether one of them took it; one whose replica refused it did, since whatever
// follows is a retry.
func (r *runner) feed(ctx context.Context, feeders []string) (verdict, bool) {
	members := r.gateway.agent.Active().Gateways()
	for _, feeder := range feeders {
		member, known := members[feeder]
		if !known || !member.Up {
			continue
		}
		attempts := r.hops
		outcome := r.offer(ctx, member, 0)
		if outcome.standing != stoodNotStarted || ctx.Err() != nil || r.hops > attempts {
			return outcome, true
		}
	}
	return verdict{}, false
}

// again decides whether another attempt in this region follows an outcome, and
// waits before it as long as it must.
func (r *runner) again(ctx context.Context, slot *routing.Reservation, outcome verdict) bool {
	if ctx.Err() != nil {
		return false
	}
	switch {
	case outcome.local:
		r.unsent++
		return r.unsent < maxUnsent && r.gateway.mayPlace() == nil
	case outcome.standing == stoodStale:
		r.stale++
		return r.stale <= maxStale && r.gateway.learnVersion(ctx, r.route.Service, slot)
	case outcome.standing == stoodRestarted:
		r.unsent++
		return r.unsent < maxUnsent
	case outcome.standing == stoodBroken && !r.request.Repeatable && !planted.Active(planted.RetryAfterFirstByte):
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
	if r.route.ExcludedReplicas == nil {
		r.route.ExcludedReplicas = make(map[string]bool)
	}
	r.route.ExcludedReplicas[replica] = true
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
	if r.gateway.agent.ConfirmVersion(version) {
		return nil
	}
	waiting, cancel := context.WithTimeout(ctx, staleWait)
	defer cancel()
	if err := r.gateway.agent.AwaitVersion(waiting, version); err != nil {
		return refusedLater(api.CodeNoLease, "a replica has seen configuration %d, which is not active here yet", version)
	}
	return nil
}
