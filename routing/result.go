package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/slowstart"
)

// toleratedRejections is how many consecutive rejections by a replica do not count as
// failures.
const toleratedRejections = 10

// recordResult updates the estimates, the limits, the prefix index and the outlier group
// by the result of an attempt.
func (r *Reservation) recordResult(result AttemptResult, at time.Time) {
	target := r.target
	service := target.service
	switch result {
	case ResultSuccess:
		r.recordSuccess(at)
	case ResultNotStarted:
		r.recordRejection(at)
	case ResultFailed:
		service.prefixIndex.RemoveChain(target.number, r.chain)
		target.limit.RecordFailure(at)
		if target.slowStart != nil {
			target.slowStart.RecordFailure()
		}
		if service.outlierGroup.RecordFailure(at, target.name) {
			target.eject("errors")
		}
	case ResultCanceled:
		// A canceled attempt is no evidence about the replica.
	}
}

// recordRejection lowers the replica's limit after the replica rejected a request. A few
// rejections are normal while it drains or while a new configuration is being distributed;
// further ones count as failures after toleratedRejections without a success in between.
func (r *Reservation) recordRejection(at time.Time) {
	target := r.target
	service := target.service
	service.prefixIndex.RemoveChain(target.number, r.chain)
	target.limit.RecordFailure(at)
	target.consecutiveRejections++
	if target.consecutiveRejections <= toleratedRejections {
		service.outlierGroup.RecordRejection(at, target.name)
		return
	}
	if service.outlierGroup.RecordFailure(at, target.name) {
		target.eject("refusals")
	}
}

// recordSuccess updates the estimates and the slow start after a request succeeded.
func (r *Reservation) recordSuccess(at time.Time) {
	target := r.target
	service := target.service
	duration := at.Sub(r.grantedAt).Seconds()
	if !r.request.Stream && !target.warmingUp() {
		r.recordDelay(at, r.estimatedFirstTokenDelay(duration))
	}
	target.serviceTime = smoothed(target.serviceTime, duration, serviceTimeSmoothing)
	service.serviceTime = smoothed(service.serviceTime, duration, serviceTimeSmoothing)
	service.outlierGroup.RecordSuccess(at, target.name)
	target.consecutiveRejections = 0
	service.completions.Record(at)
	service.completed++
	if target.slowStart != nil {
		target.slowStart.RecordSuccess()
	}
}

// estimatedFirstTokenDelay returns an estimate, in seconds, of the queueing delay of a
// request that is not streamed, for which no first token is observed. It is 0 for the usual
// duration and equals the set point for twice the usual duration.
func (r *Reservation) estimatedFirstTokenDelay(duration float64) float64 {
	service := r.target.service
	tokens := float64(max(1, r.request.MaxTokens))
	usual := r.prefillSeconds + service.secondsPerToken*tokens
	service.secondsPerToken = smoothed(service.secondsPerToken, max(0, duration-r.prefillSeconds)/tokens, secondsPerTokenSmoothing)
	if usual <= r.prefillSeconds {
		return 0
	}
	return (duration/usual - 1) * service.firstTokenTarget.Seconds()
}

// recordDelay updates the estimates, the limit and the outlier group by the time to the
// first token, in seconds and without the request's own prefill.
func (r *Reservation) recordDelay(at time.Time, seconds float64) {
	target := r.target
	service := target.service
	if !r.current() || target.warmingUp() {
		return // a replica that is warming up is slow, and only its slow start limits it
	}
	delay := time.Duration(max(seconds, 0.001) * float64(time.Second))
	service.firstTokenDelay = smoothed(service.firstTokenDelay, delay.Seconds(), serviceTimeSmoothing)
	target.limit.Observe(at, delay, r.inFlight)
	if service.outlierGroup.RecordLatency(at, target.name, delay) {
		target.eject("latency")
	}
}

// eject closes the replica to new requests until its ejection ends. A slow start follows.
func (r *replica) eject(cause string) {
	r.closedUntil = latest(r.closedUntil, r.service.outlierGroup.EjectedUntil(r.name))
	r.slowStart = slowstart.New(slowstart.Doubling, 1, r.maxConcurrency())
	r.service.router.logger.Warn("replica ejected", "replica", r.name, "service", r.service.name, "cause", cause)
}

// smoothed returns the exponentially weighted moving average after one more sample. A
// value of 0 means that there was no sample before.
func smoothed(value, sample, weight float64) float64 {
	if value == 0 {
		return sample
	}
	return value + weight*(sample-value)
}
