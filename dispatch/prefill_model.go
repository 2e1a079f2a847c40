package dispatch

import "math"

// The prefill model of a service gives the time to the first event as a function of the
// work of the prefill. Services differ in their engines, but the replicas of one service
// hardly do, so each sample of a replica is used as a sample of the whole service.
const (
	// initialOverhead is the assumed overhead before any sample, in seconds.
	initialOverhead = 0.012
	// maxOverhead is the upper bound on the overhead, in seconds.
	maxOverhead = 0.3
	// minPrefillFactor and maxPrefillFactor are the bounds on the factor.
	minPrefillFactor = 1.0 / 16
	maxPrefillFactor = 8
	// sampleDecay is the factor by which each sample reduces the weight of earlier ones.
	sampleDecay = 0.98
	// The estimator starts with two artificial samples that agree with the initial model.
	// initialWeight is the weight of each of them, and initialShortWork and
	// initialLongWork are their work in seconds.
	initialWeight    = 2
	initialShortWork = 0.03
	initialLongWork  = 0.2
	// toleratedError is the ratio by which a sample may differ from the expected time
	// before its weight is reduced: a large difference probably comes from a slow replica
	// or a cached prefix that is not known, and not from the service's engines.
	toleratedError = 0.25
	// toleratedJitter is added to the tolerated error, in seconds.
	toleratedJitter = 0.008
	// minSpread is the smallest spread of the samples' work that suffices to determine
	// the factor, as a ratio of the squared weight.
	minSpread = 1e-9
)

// prefillModel predicts the time to the first event in seconds as overhead + factor * work.
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

// observe updates the model with a sample: the work of a prefill and the time to its first
// event, in seconds. The further that time is from the expected one, the lower the weight
// of the sample.
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

// fit computes the model from the sums. If the work of all samples is about the same, it
// leaves the factor unchanged.
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
