package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/placement"
	"github.com/deckpulley/deckpulley/slowstart"
)

// toleratedRefusals is the number of refusals in a row by a replica that say
// nothing against it.
const toleratedRefusals = 10

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
	prefill        float64 // own prefill, in seconds
	uncached       float64 // own prefill, in tokens
	inFlight       int     // on the replica when granted, this one included
	epoch          uint64
	granted        time.Time
	firstToken     bool
	finished       bool
}

func (s *service) newSlot(now time.Time, w *waiter, choice chosen) *Reservation {
	target := choice.target
	target.inFlight++
	target.fedAt = now
	if w.request.Class == api.ClassLong {
		target.inFlightLong++
	}
	uncached := max(0, w.work.Tokens-choice.cached*target.trust)
	target.sentTokens += uncached
	s.index.Record(target.number, w.chain)
	slot := &Reservation{
		Replica:        target.name,
		Address:        target.listed.Address,
		Incarnation:    target.report.Incarnation,
		Version:        s.router.version,
		Serial:         s.router.serial,
		router:         s.router,
		target:         target,
		request:        w.request,
		chain:          w.chain,
		expectedCached: choice.cached,
		uncached:       uncached,
		inFlight:       target.busy(),
		epoch:          target.epoch,
		granted:        now,
	}
	if target.report.PrefillTokensPerSecond > 0 {
		slot.prefill = uncached / target.report.PrefillTokensPerSecond
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
	if l.firstToken || l.finished || !l.request.Stream {
		return
	}
	l.firstToken = true
	l.prefillDone()
	l.recordDelay(at, at.Sub(l.granted).Seconds()-l.prefill)
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
	l.target.trust += trustSmoothing * (share - l.target.trust)
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
		l.judge(result, at)
	}
	if report != nil && !target.gone {
		target.observe(at, *report)
	}
	target.service.dispatch(at)
}

// current reports whether the replica is still listed and the same process.
func (l *Reservation) current() bool {
	return !l.target.gone && l.target.report.Incarnation == l.Incarnation
}

// prefillDone takes the request's prefill off what was sent since the last
// report, unless a report has counted it since.
func (l *Reservation) prefillDone() {
	if l.epoch == l.target.epoch {
		l.target.sentTokens = max(0, l.target.sentTokens-l.uncached)
	}
	l.uncached = 0
}

func (l *Reservation) judge(result AttemptResult, at time.Time) {
	target := l.target
	service := target.service
	switch result {
	case ResultSuccess:
		l.succeeded(at)
	case ResultNotStarted:
		l.refused(at)
	case ResultFailed:
		service.index.Undo(target.number, l.chain)
		target.limit.RecordFailure(at)
		if target.slowStart != nil {
			target.slowStart.RecordFailure()
		}
		if service.group.RecordFailure(at, target.name) {
			target.ejected("errors")
		}
	case ResultCanceled:
		// It says nothing about the replica.
	}
}

// refused takes a replica's own refusal as a sign that its limit is too high. A
// few are usual when it drains or a configuration spreads; many without a
// success between them are failures.
func (l *Reservation) refused(at time.Time) {
	target := l.target
	service := target.service
	service.index.Undo(target.number, l.chain)
	target.limit.RecordFailure(at)
	target.refusals++
	if target.refusals <= toleratedRefusals {
		service.group.RecordRejection(at, target.name)
		return
	}
	if service.group.RecordFailure(at, target.name) {
		target.ejected("refusals")
	}
}

func (l *Reservation) succeeded(at time.Time) {
	target := l.target
	service := target.service
	duration := at.Sub(l.granted).Seconds()
	if !l.request.Stream && !target.cold() {
		l.recordDelay(at, l.wholeDelay(duration))
	}
	target.hold = smoothed(target.hold, duration, holdSmoothing)
	service.hold = smoothed(service.hold, duration, holdSmoothing)
	service.group.RecordSuccess(at, target.name)
	target.refusals = 0
	service.completions.Record(at)
	service.completed++
	if target.slowStart != nil {
		target.slowStart.RecordSuccess()
	}
}

// wholeDelay stands in for the delay to the first token of a whole answer: at
// twice the usual duration it is the set point.
func (l *Reservation) wholeDelay(duration float64) float64 {
	service := l.target.service
	tokens := float64(max(1, l.request.MaxTokens))
	usual := l.prefill + service.perToken*tokens
	service.perToken = smoothed(service.perToken, max(0, duration-l.prefill)/tokens, expectedSmoothing)
	if usual <= l.prefill {
		return 0
	}
	return (duration/usual - 1) * service.firstToken.Seconds()
}

// recordDelay feeds the controllers with the delay to the first token that is
// not the request's own prefill.
func (l *Reservation) recordDelay(at time.Time, seconds float64) {
	target := l.target
	service := target.service
	if !l.current() || target.cold() {
		return // a cold replica is slow: its ramp holds it, not its delay
	}
	delay := time.Duration(max(seconds, 0.001) * float64(time.Second))
	service.delay = smoothed(service.delay, delay.Seconds(), holdSmoothing)
	target.limit.Observe(at, delay, l.inFlight)
	if service.group.RecordLatency(at, target.name, delay) {
		target.ejected("latency")
	}
}

// ejected closes the replica for the time of its ejection and ramps it after.
func (t *replica) ejected(cause string) {
	t.closedUntil = later(t.closedUntil, t.service.group.EjectedUntil(t.name))
	t.slowStart = slowstart.New(slowstart.Doubling, 1, t.bound())
	t.service.router.logger.Warn("replica ejected", "replica", t.name, "service", t.service.name, "cause", cause)
}

func smoothed(value, sample, weight float64) float64 {
	if value == 0 {
		return sample
	}
	return value + weight*(sample-value)
}
