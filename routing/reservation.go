package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/placement"
)

// Reservation permits sending one request to one replica. Version and Serial are
// those of the plan that it was granted under, for the request's stamp.
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
	expectedCached float64
	prefillSeconds float64 // expected prefill time of the request
	uncachedTokens float64 // expected prefill work of the request
	inFlight       int     // on the replica when granted, including this one
	epoch          uint64
	grantedAt      time.Time
	firstTokenSeen bool
	finished       bool
}

func (s *service) newReservation(now time.Time, w *waiter, choice choice) *Reservation {
	target := choice.target
	target.inFlight++
	target.lastWarmup = now
	if w.request.Class == api.ClassLong {
		target.inFlightLong++
	}
	uncached := max(0, w.work.Tokens-choice.cached*target.cacheAccuracy)
	target.sentTokens += uncached
	s.index.Record(target.number, w.chain)
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
		epoch:          target.epoch,
		grantedAt:      now,
	}
	if target.report.PrefillTokensPerSecond > 0 {
		reservation.prefillSeconds = uncached / target.report.PrefillTokensPerSecond
	}
	return reservation
}

// Usable reports whether the request may still be sent, under the present plan and
// state of the replica. A reservation that is not usable must be finished with
// ResultCanceled.
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

// RecordFirstToken records when the first event of a stream arrived. It does nothing
// for a request that is not streamed.
func (r *Reservation) RecordFirstToken(at time.Time) {
	r.router.mutex.Lock()
	defer r.router.mutex.Unlock()
	if r.firstTokenSeen || r.finished || !r.request.Stream {
		return
	}
	r.firstTokenSeen = true
	r.prefillDone()
	r.recordDelay(at, at.Sub(r.grantedAt).Seconds()-r.prefillSeconds)
}

// RecordCachedTokens records the number of tokens that the replica found in its KV
// cache, as its answer reports, and corrects the prefix index by it.
func (r *Reservation) RecordCachedTokens(found int) {
	r.router.mutex.Lock()
	defer r.router.mutex.Unlock()
	if r.expectedCached <= 0 || !r.current() {
		return
	}
	share := min(1, float64(found)/r.expectedCached)
	r.target.cacheAccuracy += cacheAccuracySmoothing * (share - r.target.cacheAccuracy)
	r.target.service.index.Correct(r.target.number, int(r.expectedCached), found)
}

// Finish ends the reservation with the result of the attempt. The report, if any, is
// the one that came with the answer. A second call does nothing.
func (r *Reservation) Finish(result AttemptResult, report *api.ReplicaReport, at time.Time) {
	r.router.mutex.Lock()
	defer r.router.mutex.Unlock()
	if r.finished {
		return
	}
	r.finished = true
	r.prefillDone()
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

// current reports whether the replica is still listed and of the same incarnation.
func (r *Reservation) current() bool {
	return !r.target.removed && r.target.report.Incarnation == r.Incarnation
}

// prefillDone subtracts the request's prefill from the tokens sent since the last
// report, unless a later report has counted it.
func (r *Reservation) prefillDone() {
	if r.epoch == r.target.epoch {
		r.target.sentTokens = max(0, r.target.sentTokens-r.uncachedTokens)
	}
	r.uncachedTokens = 0
}
