package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/admission"
	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/planted"
)

// maxConcurrency returns the configured limit of requests in flight.
func (t *replica) maxConcurrency() int {
	bound := t.service.settings.MaxConcurrency
	if bound <= 0 {
		bound = defaultConcurrency
	}
	if t.report.Slots > 0 {
		bound = min(bound, t.report.Slots)
	}
	return bound
}

// usable reports whether the replica may get new requests at all.
func (t *replica) usable(now time.Time) bool {
	return t.open && now.Before(t.suspectedAt) && !now.Before(t.closedUntil)
}

// concurrencyLimit returns the limit of the replica's requests from all gateways.
func (t *replica) concurrencyLimit() int {
	if planted.Active(planted.SwingingLimit) && time.Now().Unix()/swingSeconds%2 == 0 {
		return 0
	}
	limit := min(t.limit.Value(), t.maxConcurrency())
	if t.slowStart != nil {
		limit = min(limit, t.slowStart.Limit())
	}
	return limit
}

// hasCapacity reports whether one more request of a class fits. A gateway may always
// use its equal share of the concurrency limit, and the rest as far as the last
// report showed it free. The same holds for long requests within their share of the
// limit, where the requests of other gateways all count as long. There are no shares
// while a replica is warming up: the limit then holds for all requests together.
func (t *replica) hasCapacity(now time.Time, class api.Class) bool {
	limit := t.concurrencyLimit()
	if planted.Active(planted.RampPerGateway) {
		return t.inFlight < limit
	}
	if t.warmingUp() {
		return t.totalInFlight() < limit && (class != api.ClassLong || t.warmupAdmitsLong(now, limit))
	}
	gateways := t.service.router.gateways.count()
	share := (limit + gateways - 1) / gateways
	if t.inFlight >= max(share, limit-t.inFlightElsewhere) {
		return false
	}
	if class != api.ClassLong {
		return true
	}
	long := admission.ClassLimit(limit, class)
	return t.inFlightLong < max(1, long/gateways) || t.totalInFlight() < long
}

// warmupAdmitsLong reports whether a replica that is warming up may get a long
// request. The first step of its slow start is kept for short requests, whose
// successes raise the limit soonest, unless none has come for longWarmupDelay.
func (t *replica) warmupAdmitsLong(now time.Time, limit int) bool {
	if limit < 2 {
		return now.Sub(t.lastWarmup) >= longWarmupDelay
	}
	return t.inFlightLong < admission.ClassLimit(limit, api.ClassLong)
}

// expectedCapacityWait returns the expected time, in seconds, until the replica has
// capacity for a waiter, behind the others that wait for it.
func (t *replica) expectedCapacityWait(w *waiter) float64 {
	ahead := t.waiters
	if w.awaited == t {
		ahead--
	}
	serviceTime := t.serviceTime
	if serviceTime <= 0 {
		serviceTime = t.service.serviceTime
	}
	return max(minCapacityWait, float64(ahead+1)*serviceTime/float64(t.concurrencyLimit()))
}

// totalInFlight returns the number of requests on the replica from all gateways, as
// last reported.
func (t *replica) totalInFlight() int {
	return t.inFlight + t.inFlightElsewhere
}
