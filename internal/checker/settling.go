package checker

import (
	"fmt"
	"math"
	"time"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

const (
	// settlingBound is the longest time from a step of the load until the work in flight
	// has settled.
	settlingBound = 30 * time.Second
	// settledBand is the deviation from the final level, as a fraction of it, within
	// which work in flight has settled.
	settledBand = 0.5
	// finalFraction is the last part of the step whose mean is the final level.
	finalFraction = 0.25
	// minimumStep is the length of the shortest step that is examined.
	minimumStep = 10 * time.Second
)

// checkSettling measures the overshoot and the settling time of the fleet's work in
// flight after each step of the load.
func checkSettling(x *index, _ Options, verdict *Verdict) {
	verdict.Bound = &Bound{Allowed: settlingBound.Seconds(), Unit: "s to settle"}
	for i, fault := range x.faults {
		if fault.Detail != FaultCrowd {
			continue
		}
		end := x.endOfStep(x.faults[i+1:])
		if end-fault.At >= int64(minimumStep) {
			x.checkStep(fault, end, verdict)
		}
	}
}

// endOfStep returns the time of the first of the later faults that changes the load, or
// the end of the run if there is none.
func (x *index) endOfStep(later []eventlog.Event) int64 {
	for _, fault := range later {
		if fault.Detail == FaultCalm || fault.Detail == FaultCrowd {
			return fault.At
		}
	}
	return x.end
}

// checkStep examines one step of the load.
func (x *index) checkStep(fault eventlog.Event, end int64, verdict *Verdict) {
	levels := x.workInFlight(fault.At, end)
	if len(levels) == 0 {
		return
	}
	verdict.Examined += len(levels)
	final := mean(levels[len(levels)-max(1, int(float64(len(levels))*finalFraction)):])
	peak, settled := 0.0, 0
	for i, level := range levels {
		peak = math.Max(peak, level)
		if math.Abs(level-final) > settledBand*math.Max(final, 1) {
			settled = i + 1
		}
	}
	took := time.Duration(settled) * interval
	verdict.measure(took.Seconds())
	verdict.Remark = fmt.Sprintf("overshoot %.0f%%, settled after %v", 100*(peak/math.Max(final, 1)-1), took)
	if took > settlingBound || (settled == len(levels) && took >= settlingBound) {
		verdict.addViolation(fmt.Sprintf("work in flight had not settled %v after %s %s", took, fault.Detail, fault.Target), fault)
	}
}

// workInFlight returns the mean number of executions in flight on all replicas in each
// interval of [from, to).
func (x *index) workInFlight(from, to int64) []float64 {
	count := int((to - from) / int64(interval))
	levels := make([]float64, count)
	for _, executed := range x.executed {
		ended, ok := x.ended[executed.Run]
		if !ok {
			continue
		}
		addOverlap(levels, executed.At-from, ended.At-from)
	}
	return levels
}

// addOverlap adds to the level of each interval the fraction of it that [start, end)
// covers.
func addOverlap(levels []float64, start, end int64) {
	width := int64(interval)
	for i := max(0, start/width); i < int64(len(levels)); i++ {
		low, high := max(start, i*width), min(end, (i+1)*width)
		if high <= low {
			return
		}
		levels[i] += float64(high-low) / float64(width)
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}
