package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/routing"
)

// Limits of queueing in other regions.
const (
	// maxOverflowWait bounds how long a request waits for capacity in other regions
	// while its own region accepts nothing.
	maxOverflowWait = 5 * time.Second
	// maxOverflowWaiters bounds the requests that wait so at the same time.
	maxOverflowWaiters = 512
	// maxSpillWait bounds the wait in the queue of a less loaded region.
	maxSpillWait = 2 * time.Second
)

// dispatch returns nil once the result is delivered, otherwise the reason why there
// is none. A request that can't wait in the queue of its own region, which is
// evacuated or has lost its replicas, waits in the queues of other regions if none of
// them has capacity at once. A request that finds no queue is answered at once.
func (r *runner) dispatch(ctx context.Context) *api.Error {
	failure := r.dispatchOnce(ctx, 0)
	if failure == nil || !r.canWaitElsewhere(failure) {
		return failure
	}
	if !r.gateway.overflowWaiters.tryAcquire() {
		return failure
	}
	defer r.gateway.overflowWaiters.release()
	return r.dispatchOnce(ctx, min(maxOverflowWait, time.Until(r.route.Deadline)/2))
}

// canWaitElsewhere reports whether nothing was sent, the own region accepts nothing,
// and another region may soon have capacity.
func (r *runner) canWaitElsewhere(failure *api.Error) bool {
	if r.forwarded || r.mayHaveRun || r.attempted() {
		return false
	}
	if failure.Code != api.CodeOverloaded && failure.Code != api.CodeNoCapacity {
		return false
	}
	regions := r.gateway.router.Regions(r.route)
	return len(regions) > 0 && !slices.Contains(regions, r.gateway.region())
}

// dispatchOnce tries the regions in order and waits up to queueWait for capacity in
// other regions.
func (r *runner) dispatchOnce(ctx context.Context, queueWait time.Duration) *api.Error {
	queueDeadline := time.Now().Add(queueWait)
	regions := []string{r.gateway.region()}
	if !r.forwarded {
		regions = r.gateway.router.Regions(r.route)
	}
	if len(regions) == 0 {
		return r.gateway.router.Rejection(r.route)
	}
	var lastFailure *api.Error
	for index, region := range regions {
		if ctx.Err() != nil || (r.attempted() && !r.allowRetry()) {
			break
		}
		wait := max(0, time.Until(queueDeadline)) / time.Duration(len(regions)-index)
		if queueWait == 0 && index == 0 {
			wait = r.spillQueueWait(regions)
		}
		outcome := r.dispatchTo(ctx, region, wait)
		if outcome.status == statusDelivered {
			return nil
		}
		final := outcome.status == statusIndeterminate && !r.request.Repeatable
		if lastFailure == nil || outcome.status == statusIndeterminate {
			lastFailure = outcome.failure
		}
		if final || isFinalRefusal(outcome.failure) {
			break
		}
	}
	if lastFailure == nil {
		return newError(api.CodeDeadline, api.OutcomeRefused, "no time is left")
	}
	return lastFailure
}

// spillQueueWait is how long a request that was selected for spilling, because the
// first region is less loaded than its own, may wait in the queue of that region
// before it enters the queue of its own.
func (r *runner) spillQueueWait(regions []string) time.Duration {
	own := r.gateway.region()
	if regions[0] == own || !slices.Contains(regions, own) {
		return 0
	}
	return min(maxSpillWait, time.Until(r.route.Deadline)/4)
}

// dispatchTo runs the request in one region. The wait bounds queueing in another
// region.
func (r *runner) dispatchTo(ctx context.Context, region string, wait time.Duration) attemptResult {
	if failure := r.gateway.checkServing(); failure != nil {
		return notStarted(failure)
	}
	if region != r.gateway.region() {
		return r.forwardToRegion(ctx, region, wait)
	}
	return r.runLocally(ctx)
}

// runLocally makes attempts on replicas of the own region.
func (r *runner) runLocally(ctx context.Context) attemptResult {
	for {
		if failure := r.awaitObservedVersion(ctx); failure != nil {
			return notStarted(failure)
		}
		reservation, elsewhere, failure := r.acquire(ctx)
		if failure != nil {
			return notStarted(failure)
		}
		if reservation == nil {
			return elsewhere
		}
		outcome := r.attempt(ctx, reservation)
		if outcome.status == statusDelivered || !r.prepareNextAttempt(ctx, reservation, outcome) {
			return outcome.regional()
		}
	}
}

// acquire waits for a replica of the own region. If both the reservation and the
// error are nil, another gateway of the region ran the request, and the attempt's
// result is set.
func (r *runner) acquire(ctx context.Context) (*routing.Reservation, attemptResult, *api.Error) {
	if reservation := r.reservation; reservation != nil {
		r.reservation = nil
		return reservation, attemptResult{}, nil
	}
	gateways := r.warmupGateways()
	if len(gateways) > 0 {
		reservation, failure := r.gateway.router.Reserve(r.route)
		if failure == nil {
			return reservation, attemptResult{}, nil
		}
		if noReplicaUsable(failure) {
			if outcome, taken := r.forwardForWarmup(ctx, gateways); taken {
				return nil, outcome, nil
			}
		}
	}
	reservation, failure := r.gateway.router.Acquire(ctx, r.route)
	return reservation, attemptResult{}, failure
}

// warmupGateways returns the other gateways of the region that send requests to
// replicas that warm up.
func (r *runner) warmupGateways() []string {
	if r.forwarded {
		return nil
	}
	return r.gateway.router.WarmupGateways(r.route.Service)
}

// noReplicaUsable reports whether a refusal means that this gateway may not use any
// replica of the region.
func noReplicaUsable(failure *api.Error) bool {
	return failure.Code == api.CodeNoCapacity || failure.Code == api.CodeHomeUnavailable
}

// forwardForWarmup offers the request to the gateways that serve replicas that warm
// up. It reports whether one of them accepted it. A refusal by a replica counts as
// accepted, since every further attempt is a retry.
func (r *runner) forwardForWarmup(ctx context.Context, gateways []string) (attemptResult, bool) {
	members := r.gateway.agent.Active().Gateways()
	for _, name := range gateways {
		member, known := members[name]
		if !known || !member.Up {
			continue
		}
		attempts := r.remoteAttempts
		outcome := r.forward(ctx, member, 0)
		if outcome.status != statusNotStarted || ctx.Err() != nil || r.remoteAttempts > attempts {
			return outcome, true
		}
	}
	return attemptResult{}, false
}
