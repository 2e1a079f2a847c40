package gateway

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/routing"
)

// Limits for the attempts of one request.
const (
	// maxUnsentAttempts bounds the attempts that end before any byte is sent to a replica,
	// or because the replica was restarted.
	maxUnsentAttempts = 8
	// maxStaleRefusals bounds the attempts that replicas refuse because they have seen a
	// newer configuration.
	maxStaleRefusals = 3
	// The delay before a retry is random between 0 and a limit (full jitter). The limit
	// doubles with each attempt, from initialBackoff up to maxBackoff.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// attempted reports whether an attempt was made after which the next one is a retry.
func (r *runner) attempted() bool { return r.attemptsSent-r.attemptsVoided+r.remoteAttempts > 0 }

// allowRetry reports whether the request may be retried, and spends the retry budget for
// it. A request is retried at most once.
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

// prepareNextAttempt reports whether another attempt in this region may be made after a
// failed one. Before a retry it waits for the backoff delay.
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

// isFinalRefusal reports whether any other replica would refuse the request for the same
// reason, so that another attempt is useless.
func isFinalRefusal(failure *api.Error) bool {
	switch failure.Code {
	case api.CodeInvalid, api.CodeTooLarge, api.CodeDeadline:
		return true
	default:
		return false
	}
}

// excludeReplica prevents further attempts of this request on a replica.
func (r *runner) excludeReplica(replica string) {
	if r.route.ExcludedReplicas == nil {
		r.route.ExcludedReplicas = make(map[string]bool)
	}
	r.route.ExcludedReplicas[replica] = true
}

// backoff waits for a random delay before a retry. It reports false if the context ended
// first.
func (r *runner) backoff(ctx context.Context) bool {
	limit := min(initialBackoff<<min(r.attemptsSent, 8), maxBackoff)
	return sleep(ctx, r.gateway.randomDuration(limit))
}

// sleep waits for the given time. It reports false if the context ended first.
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

// randomDuration returns a random duration between 0 and the limit, both included.
func (g *Gateway) randomDuration(limit time.Duration) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return time.Duration(g.random.Int64N(int64(limit) + 1))
}
