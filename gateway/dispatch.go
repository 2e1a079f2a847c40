package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/routing"
)

// Limits for requests that wait in the queues of other regions.
const (
	// maxOverflowWait bounds how long a request waits for capacity in other regions when
	// its own region cannot accept it.
	maxOverflowWait = 5 * time.Second
	// maxOverflowWaiters bounds the number of requests in such a wait at the same time.
	maxOverflowWaiters = 512
	// maxSpillWait bounds how long a request that is spilled to a less loaded region waits
	// in the queue of that region.
	maxSpillWait = 2 * time.Second
)

// dispatch runs the request in one of the regions. It returns nil if a result was
// delivered, otherwise the error for the caller.
//
// The first pass over the regions looks for capacity that is free at once. If the
// request can't wait in the queue of its own region, because that region is evacuated or
// has lost its replicas, a second pass waits in the queues of the other regions. If too
// many requests wait like that, the error is returned without waiting.
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

// canWaitElsewhere reports whether the request may wait in the queues of other regions:
// it has not been sent to any replica, its own region is no candidate, and another one
// is.
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

// dispatchOnce tries the regions in the router's order. It waits up to queueWait in
// total for capacity in other regions.
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
		return newError(api.CodeDeadline, api.OutcomeRefused, "the deadline passed before an attempt was made")
	}
	return lastFailure
}

// spillQueueWait returns how long a spilled request may wait in the queue of the first
// region. A request is spilled if the router puts a less loaded region before its own;
// after the wait it enters the queue of its own region.
func (r *runner) spillQueueWait(regions []string) time.Duration {
	own := r.gateway.region()
	if regions[0] == own || !slices.Contains(regions, own) {
		return 0
	}
	return min(maxSpillWait, time.Until(r.route.Deadline)/4)
}

// dispatchTo runs the request in one region. wait bounds the time in the queue if that
// is another region.
func (r *runner) dispatchTo(ctx context.Context, region string, wait time.Duration) attemptResult {
	if failure := r.gateway.checkServing(); failure != nil {
		return notStarted(failure)
	}
	if region != r.gateway.region() {
		return r.forwardToRegion(ctx, region, wait)
	}
	return r.runLocally(ctx)
}

// runLocally makes attempts on replicas of this gateway's region until one succeeds or
// another attempt is not allowed.
func (r *runner) runLocally(ctx context.Context) attemptResult {
	for {
		if failure := r.awaitObservedVersion(ctx); failure != nil {
			return notStarted(failure)
		}
		reservation, forwardResult, failure := r.acquire(ctx)
		if failure != nil {
			return notStarted(failure)
		}
		if reservation == nil {
			return forwardResult
		}
		outcome := r.attempt(ctx, reservation)
		if outcome.status == statusDelivered || !r.prepareNextAttempt(ctx, reservation, outcome) {
			return outcome.regional()
		}
	}
}

// acquire returns a reservation of a replica in this gateway's region and may wait in
// the queue for it. If both the reservation and the error are nil, the request was
// forwarded to another gateway of the region that serves replicas in their warm-up, and
// the attemptResult is the result of that.
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
			if outcome, accepted := r.forwardForWarmup(ctx, gateways); accepted {
				return nil, outcome, nil
			}
		}
	}
	reservation, failure := r.gateway.router.Acquire(ctx, r.route)
	return reservation, attemptResult{}, failure
}

// warmupGateways returns the other gateways of the region that serve replicas of the
// service in their warm-up; none for a request that was forwarded here.
func (r *runner) warmupGateways() []string {
	if r.forwarded {
		return nil
	}
	return r.gateway.router.WarmupGateways(r.route.Service)
}

// noReplicaUsable reports whether a refusal means that there is no replica in the region
// that this gateway may use.
func noReplicaUsable(failure *api.Error) bool {
	return failure.Code == api.CodeNoCapacity || failure.Code == api.CodeHomeUnavailable
}

// forwardForWarmup offers the request to the gateways that serve replicas in their
// warm-up, and reports whether one of them accepted it. A request that a replica refused
// there also counts as accepted, since a further attempt would be a retry.
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
