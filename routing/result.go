package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/slowstart"
)

// toleratedRejections is the number of consecutive rejections by a replica that do
// not count as failures.
const toleratedRejections = 10

// recordResult updates the estimates, the limits and the outlier group.
func (r *Reservation) recordResult(result AttemptResult, at time.Time) {
	target := r.target
	service := target.service
	switch result {
	case ResultSuccess:
		r.recordSuccess(at)
	case ResultNotStarted:
		r.recordRejection(at)
	case ResultFailed:
		service.index.Undo(target.number, r.chain)
		target.limit.RecordFailure(at)
		if target.slowStart != nil {
			target.slowStart.RecordFailure()
		}
		if service.group.RecordFailure(at, target.name) {
			target.eject("errors")
		}
	case ResultCanceled:
		// A canceled attempt is no evidence about the replica.
	}
}

// recordRejection takes a rejection by the replica as evidence that its limit is too
// high. A few are normal while it drains or while a configuration spreads; more than
// toleratedRejections without a success between them count as failures.
func (r *Reservation) recordRejection(at time.Time) {
	target := r.target
	service := target.service
	service.index.Undo(target.number, r.chain)
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

func (r *Reservation) recordSuccess(at time.Time) {
	target := r.target
	service := target.service
	duration := at.Sub(r.grantedAt).Seconds()
	if !r.request.Stream && !target.warmingUp() {
		r.recordDelay(at, r.impliedDelay(duration))
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

// impliedDelay returns the delay, in seconds, that stands in for that to the first
// token if an answer is not streamed: the set point at twice the usual duration.
func (r *Reservation) impliedDelay(duration float64) float64 {
	service := r.target.service
	tokens := float64(max(1, r.request.MaxTokens))
	usual := r.prefillSeconds + service.secondsPerToken*tokens
	service.secondsPerToken = smoothed(service.secondsPerToken, max(0, duration-r.prefillSeconds)/tokens, expectedSmoothing)
	if usual <= r.prefillSeconds {
		return 0
	}
	return (duration/usual - 1) * service.firstTokenTarget.Seconds()
}

// recordDelay records the delay to the first token, in seconds and without the
// request's own prefill, in the estimates and controllers.
func (r *Reservation) recordDelay(at time.Time, seconds float64) {
	target := r.target
	service := target.service
	if !r.current() || target.warmingUp() {
		return // it is slow while warming up, and limited by the slow start alone
	}
	delay := time.Duration(max(seconds, 0.001) * float64(time.Second))
	service.firstTokenDelay = smoothed(service.firstTokenDelay, delay.Seconds(), serviceTimeSmoothing)
	target.limit.Observe(at, delay, r.inFlight)
	if service.group.RecordLatency(at, target.name, delay) {
		target.eject("latency")
	}
}

// eject closes the replica until the end of its ejection, with a slow start after it.
func (t *replica) eject(cause string) {
	t.closedUntil = latest(t.closedUntil, t.service.group.EjectedUntil(t.name))
	t.slowStart = slowstart.New(slowstart.Doubling, 1, t.maxConcurrency())
	t.service.router.logger.Warn("replica ejected", "replica", t.name, "service", t.service.name, "cause", cause)
}

// smoothed returns the exponentially weighted average with one more sample.
func smoothed(value, sample, weight float64) float64 {
	if value == 0 {
		return sample
	}
	return value + weight*(sample-value)
}
