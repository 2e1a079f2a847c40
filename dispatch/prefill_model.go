package dispatch

import "math"

// The prefill model of a service is how long its engines take to a first event, by the
// work of the prefill. Services differ in their engines, and the replicas of one service
// hardly do, so each sample of a replica is one of the whole service.
const (
	// initialOverhead is the assumed overhead before any sample, in seconds.
	initialOverhead = 0.012
	// maxOverhead bounds the overhead, in seconds.
	maxOverhead = 0.3
	// minPrefillFactor and maxPrefillFactor bound the factor.
	minPrefillFactor = 1.0 / 16
	maxPrefillFactor = 8
	// sampleDecay is the factor by which each sample reduces the weight of earlier ones.
	sampleDecay = 0.98
	// initialWeight is the weight of each of the two samples that stand for the initial
	// model, and initialShortWork and initialLongWork are their work.
	initialWeight    = 2
	initialShortWork = 0.03
	initialLongWork  = 0.2
	// toleratedError is the ratio by which a sample may differ from the expected time
	// before it weighs less: slow replicas and unknown caches are not the service's
	// engines.
	toleratedError = 0.25
	// toleratedJitter is added to the tolerated error, in seconds.
	toleratedJitter = 0.008
	// minSpread is the smallest spread of the samples' work from which the factor can be
	// determined, as a ratio of the squared weight.
	minSpread = 1e-9
)

// prefillModel gives the time to a first event in seconds: overhead + factor * work.
type prefillModel struct {
	overhead float64
	factor   float64
}

// prefillEstimator fits the model of a service to samples by weighted least squares.
// Newer samples weigh more.
type prefillEstimator struct {
	model prefillModel
	// Weighted sums of 1, x, x*x, y and x*y, with x the work and y the time.
	weight, work, workWork, time, workTime float64
}

func newPrefillEstimator() prefillEstimator {
	estimator := prefillEstimator{model: prefillModel{overhead: initialOverhead, factor: 1}}
	for _, work := range []float64{initialShortWork, initialLongWork} {
		estimator.add(initialWeight, work, initialOverhead+work)
	}
	return estimator
}

// add adds a weighted sample to the sums.
func (e *prefillEstimator) add(weight, work, took float64) {
	e.weight += weight
	e.work += weight * work
	e.workWork += weight * work * work
	e.time += weight * took
	e.workTime += weight * work * took
}

// observe updates the model with a sample: the work of a prefill, and the time to its
// first event in seconds. The further the time is from the expected one, the less it
// weighs.
func (e *prefillEstimator) observe(work, took float64) {
	expected := e.model.overhead + e.model.factor*work
	scale := toleratedError*expected + toleratedJitter
	weight := min(1, scale/max(math.Abs(took-expected), scale))
	for _, sum := range []*float64{&e.weight, &e.work, &e.workWork, &e.time, &e.workTime} {
		*sum *= sampleDecay
	}
	e.add(weight, work, took)
	e.fit()
}

// fit solves for the model. If the works of the samples are all alike, it keeps the
// factor.
func (e *prefillEstimator) fit() {
	spread := e.weight*e.workWork - e.work*e.work
	factor := e.model.factor
	if spread > minSpread*e.weight*e.weight {
		factor = (e.weight*e.workTime - e.work*e.time) / spread
	}
	e.model.factor = min(max(factor, minPrefillFactor), maxPrefillFactor)
	overhead := (e.time - e.model.factor*e.work) / e.weight
	e.model.overhead = min(max(overhead, 0), maxOverhead)
}
