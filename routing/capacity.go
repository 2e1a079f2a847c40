package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/admission"
	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/planted"
)

// maxConcurrency returns the configured limit of requests in flight, which is at most
// the number of slots that the replica reports.
func (r *replica) maxConcurrency() int {
	limit := r.service.settings.MaxConcurrency
	if limit <= 0 {
		limit = defaultConcurrency
	}
	if r.report.Slots > 0 {
		limit = min(limit, r.report.Slots)
	}
	return limit
}

// usable reports whether the replica may be sent new requests, regardless of its capacity.
func (r *replica) usable(now time.Time) bool {
	return r.open && now.Before(r.suspectedAt) && !now.Before(r.closedUntil)
}

// concurrencyLimit returns the limit of the requests that all gateways together may have
// in flight at the replica.
func (r *replica) concurrencyLimit() int {
	if planted.Active(planted.SwingingLimit) && time.Now().Unix()/swingHalfPeriodSeconds%2 == 0 {
		return 0
	}
	limit := min(r.limit.Value(), r.maxConcurrency())
	if r.slowStart != nil {
		limit = min(limit, r.slowStart.Limit())
	}
	return limit
}

// hasCapacity reports whether the replica can take one more request of a class. A gateway
// may always use its equal share of the concurrency limit, and beyond that the part of
// the limit that was unused according to the last report. The same rule applies to long
// requests within their part of the limit; all requests of other gateways are assumed to
// be long. While a replica is warming up, only one gateway sends requests to it, and the
// undivided limit applies to all requests in flight.
func (r *replica) hasCapacity(now time.Time, class api.Class) bool {
	limit := r.concurrencyLimit()
	if planted.Active(planted.RampPerGateway) {
		return r.inFlight < limit
	}
	if r.warmingUp() {
		return r.totalInFlight() < limit && (class != api.ClassLong || r.warmupAdmitsLong(now, limit))
	}
	gateways := r.service.router.gateways.count()
	share := (limit + gateways - 1) / gateways
	if r.inFlight >= max(share, limit-r.inFlightElsewhere) {
		return false
	}
	if class != api.ClassLong {
		return true
	}
	long := admission.ClassLimit(limit, class)
	return r.inFlightLong < max(1, long/gateways) || r.totalInFlight() < long
}

// warmupAdmitsLong reports whether a replica that is warming up may get a long
// request. The first step of its slow start is reserved for shorter requests, which
// complete sooner and so raise the limit sooner, unless the replica was sent no request
// for longWarmupDelay.
func (r *replica) warmupAdmitsLong(now time.Time, limit int) bool {
	if limit < 2 {
		return now.Sub(r.lastWarmup) >= longWarmupDelay
	}
	return r.inFlightLong < admission.ClassLimit(limit, api.ClassLong)
}

// expectedCapacityWait returns the expected time, in seconds, until the replica has
// capacity for a waiter, after all other requests that wait for it.
func (r *replica) expectedCapacityWait(w *waiter) float64 {
	ahead := r.waiters
	if w.awaited == r {
		ahead--
	}
	serviceTime := r.serviceTime
	if serviceTime <= 0 {
		serviceTime = r.service.serviceTime
	}
	return max(minCapacityWait, float64(ahead+1)*serviceTime/float64(r.concurrencyLimit()))
}

// totalInFlight returns the number of requests in flight at the replica: the current
// ones of this gateway and those of other gateways according to the last report.
func (r *replica) totalInFlight() int {
	return r.inFlight + r.inFlightElsewhere
}
