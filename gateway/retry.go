package gateway

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/routing"
)

// Limits of the attempts of one request.
const (
	// maxUnsentAttempts bounds the attempts of which no byte left for a replica.
	maxUnsentAttempts = 8
	// maxStaleRefusals bounds the refusals by replicas that have seen a newer
	// configuration.
	maxStaleRefusals = 3
	// initialBackoff and maxBackoff bound the delay before a retry, which doubles
	// with each attempt and has full jitter.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// attempted reports whether there was an attempt that counts: another one is a retry.
func (r *runner) attempted() bool { return r.attemptsSent-r.attemptsVoided+r.remoteAttempts > 0 }

// allowRetry takes a retry from the budget. A request has one retry at most.
func (r *runner) allowRetry() bool {
	if r.retryAvailable {
		return true
	}
	allowed := !r.retryRequested && r.gateway.router.AllowRetry()
	r.retryRequested = true
	r.retryAvailable = allowed
	label := "denied"
	if allowed {
		label = "allowed"
	}
	r.gateway.metrics.retries.WithLabelValues(label).Inc()
	return allowed
}

// prepareNextAttempt decides whether another attempt in this region follows, and
// waits for as long as it must before it.
func (r *runner) prepareNextAttempt(ctx context.Context, reservation *routing.Reservation, outcome attemptResult) bool {
	if ctx.Err() != nil {
		return false
	}
	switch {
	case outcome.denied:
		r.unsentAttempts++
		return r.unsentAttempts < maxUnsentAttempts && r.gateway.checkServing() == nil
	case outcome.status == statusStaleConfiguration:
		r.staleRefusals++
		return r.staleRefusals <= maxStaleRefusals && r.gateway.refreshObservedVersion(ctx, r.route.Service, reservation)
	case outcome.status == statusReplicaRestarted:
		r.unsentAttempts++
		return r.unsentAttempts < maxUnsentAttempts
	case outcome.status == statusIndeterminate && !r.request.Repeatable && !planted.Active(planted.RetryAfterFirstByte):
		return false
	case outcome.status == statusNotStarted && isFinalRefusal(outcome.failure):
		return false
	}
	r.excludeReplica(reservation.Replica)
	if outcome.unsent {
		r.unsentAttempts++
		return r.unsentAttempts < maxUnsentAttempts
	}
	return r.allowRetry() && r.backoff(ctx)
}

// isFinalRefusal reports whether every other replica would refuse the request too.
func isFinalRefusal(failure *api.Error) bool {
	switch failure.Code {
	case api.CodeInvalid, api.CodeTooLarge, api.CodeDeadline:
		return true
	default:
		return false
	}
}

// excludeReplica keeps further attempts from a replica.
func (r *runner) excludeReplica(replica string) {
	if r.route.ExcludedReplicas == nil {
		r.route.ExcludedReplicas = make(map[string]bool)
	}
	r.route.ExcludedReplicas[replica] = true
}

// backoff waits before a retry and reports false if the context ended first.
func (r *runner) backoff(ctx context.Context) bool {
	limit := min(initialBackoff<<min(r.attemptsSent, 8), maxBackoff)
	return sleep(ctx, r.gateway.randomDuration(limit))
}

// sleep waits and reports whether the time passed before the context ended.
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

// randomDuration returns a random duration from 0 to the limit.
func (g *Gateway) randomDuration(limit time.Duration) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return time.Duration(g.random.Int64N(int64(limit) + 1))
}
