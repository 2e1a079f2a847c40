package dispatch

import "math"

// The pace of a service: how long its engines take to a first event, by the work
// that there is to read. Services differ in their engines, and the replicas of one
// service hardly do; so each prompt that a replica read alone tells of all.
const (
	// firstStart is the time to a first event without anything to read, in seconds,
	// before any was seen.
	firstStart = 0.012
	// leastFactor and mostFactor bound how the engines compare with the reference.
	leastFactor = 1.0 / 16
	mostFactor  = 8
	// longestStart bounds the time without reading.
	longestStart = 0.3
	// paceMemory is the part of what is known that one more prompt leaves.
	paceMemory = 0.98
	// firstWeight is the weight of each of the two readings that stand for the first
	// guess, and firstShort and firstLong their work.
	firstWeight = 2
	firstShort  = 0.03
	firstLong   = 0.2
	// surprise is the part of an expected time by which a measured one may differ
	// before it counts less: slow replicas and unknown caches are not the pace.
	surprise = 0.25
	// jitter is added to it, in seconds.
	jitter = 0.008
)

// pace is the line from work to the time of a first event, in seconds.
type pace struct {
	start  float64
	factor float64
}

// paceLearner fits the line to measured prompts, the newest ones most.
type paceLearner struct {
	now pace
	// Weighted sums of 1, x, x*x, y, x*y with x the work and y the time.
	weight, work, workWork, time, workTime float64
}

func newPaceLearner() paceLearner {
	learner := paceLearner{now: pace{start: firstStart, factor: 1}}
	for _, work := range []float64{firstShort, firstLong} {
		learner.add(firstWeight, work, firstStart+work)
	}
	return learner
}

func (l *paceLearner) add(weight, work, took float64) {
	l.weight += weight
	l.work += weight * work
	l.workWork += weight * work * work
	l.time += weight * took
	l.workTime += weight * work * took
}

// learn takes one measured prompt in.
func (l *paceLearner) learn(work, took float64) {
	expected := l.now.start + l.now.factor*work
	scale := surprise*expected + jitter
	weight := min(1, scale/max(math.Abs(took-expected), scale))
	for _, sum := range []*float64{&l.weight, &l.work, &l.workWork, &l.time, &l.workTime} {
		*sum *= paceMemory
	}
	l.add(weight, work, took)
	l.fit()
}

// fit solves for the line. Where the works are all alike it keeps the start.
func (l *paceLearner) fit() {
	spread := l.weight*l.workWork - l.work*l.work
	factor := l.now.factor
	if spread > 1e-9*l.weight*l.weight {
		factor = (l.weight*l.workTime - l.work*l.time) / spread
	}
	l.now.factor = min(max(factor, leastFactor), mostFactor)
	start := (l.time - l.now.factor*l.work) / l.weight
	l.now.start = min(max(start, 0), longestStart)
}
