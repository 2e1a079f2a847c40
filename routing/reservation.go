package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/placement"
)

// Reservation is the capacity for one request at one replica of the local region, which
// the Router counts as in flight until Finish is called. It is state of this gateway only:
// the replica is not informed of it. Version and Serial are those of the plan that the
// request was last checked against; they are meant for the request's stamp.
type Reservation struct {
	Replica     string
	Address     string
	Incarnation string
	Version     uint64
	Serial      uint32

	router         *Router
	target         *replica
	request        Request
	chain          []placement.Link
	expectedCached float64 // cached tokens by the prefix index
	prefillSeconds float64 // expected prefill time of the request
	uncachedTokens float64 // tokens of the prompt that are expected not to be cached
	inFlight       int     // requests at the replica when granted, including this one
	reportCount    uint64  // of the replica when granted
	grantedAt      time.Time
	firstTokenSeen bool
	finished       bool
}

// newReservation grants the waiter a reservation at the chosen replica.
func (s *service) newReservation(now time.Time, w *waiter, choice choice) *Reservation {
	target := choice.target
	target.inFlight++
	target.lastWarmup = now
	if w.request.Class == api.ClassLong {
		target.inFlightLong++
	}
	uncached := max(0, w.work.Tokens-choice.cached*target.cacheAccuracy)
	target.sentTokens += uncached
	s.prefixIndex.Record(target.number, w.chain)
	reservation := &Reservation{
		Replica:        target.name,
		Address:        target.entry.Address,
		Incarnation:    target.report.Incarnation,
		Version:        s.router.version,
		Serial:         s.router.serial,
		router:         s.router,
		target:         target,
		request:        w.request,
		chain:          w.chain,
		expectedCached: choice.cached,
		uncachedTokens: uncached,
		inFlight:       target.totalInFlight(),
		reportCount:    target.reportCount,
		grantedAt:      now,
	}
	if target.report.PrefillTokensPerSecond > 0 {
		reservation.prefillSeconds = uncached / target.report.PrefillTokensPerSecond
	}
	return reservation
}

// Usable reports whether the request may still be sent under the active plan and the
// current state of the replica. The caller must finish a reservation that is not usable
// with ResultCanceled.
func (r *Reservation) Usable(now time.Time) bool {
	r.router.mutex.Lock()
	defer r.router.mutex.Unlock()
	if !r.current() || !r.target.usable(now) {
		return false
	}
	if r.Serial == r.router.serial {
		return true
	}
	if r.router.planError(&r.request) != nil || r.request.Service != r.target.service.name {
		return false
	}
	r.Version, r.Serial = r.router.version, r.router.serial
	return true
}

// RecordFirstToken records the arrival time of the first event of a stream. It does
// nothing for a request that is not streamed.
func (r *Reservation) RecordFirstToken(at time.Time) {
	r.router.mutex.Lock()
	defer r.router.mutex.Unlock()
	if r.firstTokenSeen || r.finished || !r.request.Stream {
		return
	}
	r.firstTokenSeen = true
	r.releasePrefillTokens()
	r.recordDelay(at, at.Sub(r.grantedAt).Seconds()-r.prefillSeconds)
}

// RecordCachedTokens records the number of tokens that the replica found in its KV cache
// according to its answer, and corrects the prefix index accordingly.
func (r *Reservation) RecordCachedTokens(found int) {
	r.router.mutex.Lock()
	defer r.router.mutex.Unlock()
	if r.expectedCached <= 0 || !r.current() {
		return
	}
	share := min(1, float64(found)/r.expectedCached)
	r.target.cacheAccuracy += cacheAccuracySmoothing * (share - r.target.cacheAccuracy)
	r.target.service.prefixIndex.RecordMiss(r.target.number, int(r.expectedCached), found)
}

// Finish ends the reservation with the result of the attempt. The report, which may be
// nil, is the one that was received with the answer. A second call does nothing.
func (r *Reservation) Finish(result AttemptResult, report *api.ReplicaReport, at time.Time) {
	r.router.mutex.Lock()
	defer r.router.mutex.Unlock()
	if r.finished {
		return
	}
	r.finished = true
	r.releasePrefillTokens()
	target := r.target
	target.inFlight--
	if r.request.Class == api.ClassLong {
		target.inFlightLong--
	}
	if r.current() {
		r.recordResult(result, at)
	}
	if report != nil && !target.removed {
		target.observe(at, *report)
	}
	target.service.dispatch(at)
}

// current reports whether the replica is still in the plan and has the same incarnation as
// when the reservation was granted.
func (r *Reservation) current() bool {
	return !r.target.removed && r.target.report.Incarnation == r.Incarnation
}

// releasePrefillTokens subtracts the request's uncached tokens from those sent since the
// last report, unless a report has arrived since the grant and reset that count.
func (r *Reservation) releasePrefillTokens() {
	if r.reportCount == r.target.reportCount {
		r.target.sentTokens = max(0, r.target.sentTokens-r.uncachedTokens)
	}
	r.uncachedTokens = 0
}
