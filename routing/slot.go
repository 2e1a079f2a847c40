package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/placement"
	"github.com/deckpulley/deckpulley/slowstart"
)

// toleratedRejections is the number of refusals in a row by a replica that say
// nothing against it.
const toleratedRejections = 10

// Reservation is the permission to send one request to one replica. Version and
// Serial are those of the plan that decided it, for the stamp.
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
	prefillSeconds        float64 // own prefill, in seconds
	uncachedTokens       float64 // own prefill, in tokens
	inFlight       int     // on the replica when granted, this one included
	epoch          uint64
	grantedAt        time.Time
	firstTokenSeen     bool
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
	slot := &Reservation{
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
		uncachedTokens:       uncached,
		inFlight:       target.totalInFlight(),
		epoch:          target.epoch,
		grantedAt:        now,
	}
	if target.report.PrefillTokensPerSecond > 0 {
		slot.prefillSeconds = uncached / target.report.PrefillTokensPerSecond
	}
	return slot
}

// Usable reports whether the slot may still be used for a first byte: the plan,
// the replica and the home are judged as they are now. A slot that is not must
// be finished with ResultCanceled.
func (l *Reservation) Usable(now time.Time) bool {
	l.router.mutex.Lock()
	defer l.router.mutex.Unlock()
	if !l.current() || !l.target.usable(now) {
		return false
	}
	if l.Serial == l.router.serial {
		return true
	}
	if l.router.planError(&l.request) != nil || l.request.Service != l.target.service.name {
		return false
	}
	l.Version, l.Serial = l.router.version, l.router.serial
	return true
}

// RecordFirstToken records when the first event of a stream arrived. A whole answer
// shows no first token, and the call does nothing for one.
func (l *Reservation) RecordFirstToken(at time.Time) {
	l.router.mutex.Lock()
	defer l.router.mutex.Unlock()
	if l.firstTokenSeen || l.finished || !l.request.Stream {
		return
	}
	l.firstTokenSeen = true
	l.prefillDone()
	l.recordDelay(at, at.Sub(l.grantedAt).Seconds()-l.prefillSeconds)
}

// RecordCachedTokens records what the replica found in its KV cache, as its answer
// says, which corrects what is expected of it.
func (l *Reservation) RecordCachedTokens(found int) {
	l.router.mutex.Lock()
	defer l.router.mutex.Unlock()
	if l.expectedCached <= 0 || !l.current() {
		return
	}
	share := min(1, float64(found)/l.expectedCached)
	l.target.cacheAccuracy += cacheAccuracySmoothing * (share - l.target.cacheAccuracy)
	l.target.service.index.Correct(l.target.number, int(l.expectedCached), found)
}

// Finish gives the slot back and says how the attempt ended. The report, if
// any, is the one that came with the answer. Finishing twice does nothing.
func (l *Reservation) Finish(result AttemptResult, report *api.ReplicaReport, at time.Time) {
	l.router.mutex.Lock()
	defer l.router.mutex.Unlock()
	if l.finished {
		return
	}
	l.finished = true
	l.prefillDone()
	target := l.target
	target.inFlight--
	if l.request.Class == api.ClassLong {
		target.inFlightLong--
	}
	if l.current() {
		l.recordResult(result, at)
	}
	if report != nil && !target.removed {
		target.observe(at, *report)
	}
	target.service.dispatch(at)
}

// current reports whether the replica is still listed and the same process.
func (l *Reservation) current() bool {
	return !l.target.removed && l.target.report.Incarnation == l.Incarnation
}

// prefillDone takes the request's prefill off what was sent since the last
// report, unless a report has counted it since.
func (l *Reservation) prefillDone() {
	if l.epoch == l.target.epoch {
		l.target.sentTokens = max(0, l.target.sentTokens-l.uncachedTokens)
	}
	l.uncachedTokens = 0
}

func (l *Reservation) recordResult(result AttemptResult, at time.Time) {
	target := l.target
	service := target.service
	switch result {
	case ResultSuccess:
		l.recordSuccess(at)
	case ResultNotStarted:
		l.recordRejection(at)
	case ResultFailed:
		service.index.Undo(target.number, l.chain)
		target.limit.RecordFailure(at)
		if target.slowStart != nil {
			target.slowStart.RecordFailure()
		}
		if service.group.RecordFailure(at, target.name) {
			target.eject("errors")
		}
	case ResultCanceled:
		// It says nothing about the replica.
	}
}

// recordRejection takes a replica's own refusal as a sign that its limit is too high. A
// few are usual when it drains or a configuration spreads; many without a
// success between them are failures.
func (l *Reservation) recordRejection(at time.Time) {
	target := l.target
	service := target.service
	service.index.Undo(target.number, l.chain)
	target.limit.RecordFailure(at)
	target.consecutiveRejections++
	if target.consecutiveRejections <= toleratedRejections {
		service.group.RecordRejection(at, target.name)
		return
	}
	if service.group.RecordFailure(at, target.name) {
		target.eject("refusals")
	}
}

func (l *Reservation) recordSuccess(at time.Time) {
	target := l.target
	service := target.service
	duration := at.Sub(l.grantedAt).Seconds()
	if !l.request.Stream && !target.warmingUp() {
		l.recordDelay(at, l.impliedDelay(duration))
	}
	target.serviceTime = smoothed(target.serviceTime, duration, serviceTimeSmoothing)
	service.serviceTime = smoothed(service.serviceTime, duration, serviceTimeSmoothing)
	service.group.RecordSuccess(at, target.name)
	target.consecutiveRejections = 0
	service.completions.Record(at)
	service.completed++
	if target.slowStart != nil {
		target.slowStart.RecordSuccess()
	}
}

// impliedDelay stands in for the delay to the first token of a whole answer: at
// twice the usual duration it is the set point.
func (l *Reservation) impliedDelay(duration float64) float64 {
	service := l.target.service
	tokens := float64(max(1, l.request.MaxTokens))
	usual := l.prefillSeconds + service.secondsPerToken*tokens
	service.secondsPerToken = smoothed(service.secondsPerToken, max(0, duration-l.prefillSeconds)/tokens, expectedSmoothing)
	if usual <= l.prefillSeconds {
		return 0
	}
	return (duration/usual - 1) * service.firstTokenTarget.Seconds()
}

// recordDelay feeds the controllers with the delay to the first token that is
// not the request's own prefill.
func (l *Reservation) recordDelay(at time.Time, seconds float64) {
	target := l.target
	service := target.service
	if !l.current() || target.warmingUp() {
		return // a cold replica is slow: its ramp holds it, not its delay
	}
	delay := time.Duration(max(seconds, 0.001) * float64(time.Second))
	service.firstTokenDelay = smoothed(service.firstTokenDelay, delay.Seconds(), serviceTimeSmoothing)
	target.limit.Observe(at, delay, l.inFlight)
	if service.group.RecordLatency(at, target.name, delay) {
		target.eject("latency")
	}
}

// eject closes the replica for the time of its ejection and ramps it after.
func (t *replica) eject(cause string) {
	t.closedUntil = latest(t.closedUntil, t.service.group.EjectedUntil(t.name))
	t.slowStart = slowstart.New(slowstart.Doubling, 1, t.maxConcurrency())
	t.service.router.logger.Warn("replica ejected", "replica", t.name, "service", t.service.name, "cause", cause)
}

func smoothed(value, sample, weight float64) float64 {
	if value == 0 {
		return sample
	}
	return value + weight*(sample-value)
}
