package checker

import (
	"fmt"
	"math"
	"time"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// bucket is the length of the seconds in which service is judged.
const bucket = time.Second

// loss is a time in which a control node, a zone or a region is gone.
type loss struct {
	fault eventlog.Event
	// region is lost, so that requests at home there alone cannot be served.
	region string
	// cut says that the region's own callers still reach its gateways, which may
	// not place requests.
	cut bool
	// end is the stamp at which it was whole again, or never.
	end int64
}

// never is the end of a loss that lasts as long as the run.
const never = math.MaxInt64

func newLoss(fault eventlog.Event) *loss {
	return &loss{fault: fault, region: fault.Region, cut: fault.Detail == FaultCut, end: never}
}

// bears reports whether the loss itself explains that the request was not
// served.
func (lost *loss) bears(of *request) bool {
	if lost.region == "" {
		return false
	}
	if lost.cut && of.first.Region == lost.region {
		return true
	}
	return len(of.homeRegions) == 1 && of.homeRegions[0] == lost.region
}

// findLosses pairs the losses of control nodes, zones and regions with their
// ends: a thaw, heal or start of the same target, or, for a disk that was wiped
// or a machine that was replaced, the repair.
func findLosses(faults []eventlog.Event) []*loss {
	var list []*loss
	for _, fault := range faults {
		switch fault.Detail {
		case FaultKill, FaultFreeze, FaultWipe, FaultCut:
			if fault.Class != TargetGateway && fault.Class != TargetReplica {
				list = append(list, newLoss(fault))
			}
		case FaultThaw:
			endLosses(list, fault, FaultFreeze)
		case FaultHeal:
			endLosses(list, fault, FaultCut)
		case FaultStart:
			endLosses(list, fault, FaultKill)
		case FaultRepaired:
			endRepaired(list, fault)
		}
	}
	return list
}

// endRepaired ends the losses that nothing but the repair of the group ends.
func endRepaired(list []*loss, by eventlog.Event) {
	for _, lost := range list {
		if lost.end == never && (lost.fault.Detail == FaultWipe || lost.fault.Detail == FaultKill) {
			lost.end = by.At
		}
	}
}

func endLosses(list []*loss, by eventlog.Event, detail string) {
	for _, lost := range list {
		if lost.end == never && lost.fault.Detail == detail && lost.fault.Target == by.Target {
			lost.end = by.At
		}
	}
}

// around lists the other losses in which a moment lies, and the stamp at which
// the next one after it begins.
func (l *log) around(moment eventlog.Event) (during []*loss, next int64) {
	next = never
	for _, lost := range l.losses {
		begun := lost.fault.At
		switch {
		case begun == moment.At && lost.fault.Target == moment.Target:
		case begun <= moment.At && lost.end > moment.At:
			during = append(during, lost)
		case begun > moment.At:
			next = min(next, begun)
		}
	}
	return during, next
}

// service is the time from at to the first clean second after which no outage
// begins within the bound. A second, counted from at, is clean if requests began
// in it and none was refused or lost, and an outage if at least half were: a
// lease that is still valid for a moment after its grantor is gone is no return.
func (l *log) service(at, limit int64, losses []*loss) (time.Duration, bool) {
	clean, found := time.Duration(0), false
	for from := at; from+int64(bucket) <= min(l.end, limit); from += int64(bucket) {
		since := time.Duration(from - at)
		if found && since > returnBound {
			break
		}
		counted, disturbed := count(l.requestsBetween(from, from+int64(bucket)), losses)
		switch {
		case !found && counted > 0 && disturbed == 0:
			clean, found = since, true
		case found && counted > 0 && 2*disturbed >= counted:
			found = false
		}
	}
	return clean, found
}

// count returns how many of the requests the losses do not explain away, and how
// many of these were refused or lost.
func count(requests []*request, losses []*loss) (counted, disturbed int) {
	for _, of := range requests {
		if borne(of, losses) {
			continue
		}
		counted++
		if of.disturbed() {
			disturbed++
		}
	}
	return counted, disturbed
}

func borne(of *request, losses []*loss) bool {
	for _, lost := range losses {
		if lost.bears(of) {
			return true
		}
	}
	return false
}

// checkReturn measures how long after the start of machines service returned.
func checkReturn(l *log, _ Options, verdict *Verdict) {
	verdict.Bound = &Bound{Allowed: returnBound.Seconds(), Unit: "s"}
	for _, fault := range l.faults {
		if fault.Detail == FaultStart && (fault.Class == TargetFleet || fault.Class == TargetControls) {
			_, next := l.around(fault)
			l.checkServing(fault, next, nil, verdict)
		}
	}
}

// checkLosses measures how long after the loss of one machine, zone or region
// the others served without a refusal. It judges a control node, zone or region
// only if it is the one loss at that time.
func checkLosses(l *log, _ Options, verdict *Verdict) {
	verdict.Bound = &Bound{Allowed: returnBound.Seconds(), Unit: "s"}
	for _, fault := range l.faults {
		if !isLoss(fault) {
			continue
		}
		during, next := l.around(fault)
		if fault.Class != TargetGateway && len(during) > 0 {
			continue
		}
		l.checkServing(fault, next, append(during, newLoss(fault)), verdict)
	}
}

func isLoss(fault eventlog.Event) bool {
	switch fault.Detail {
	case FaultKill, FaultFreeze, FaultWipe, FaultCut:
	default:
		return false
	}
	switch fault.Class {
	case TargetControl, TargetZone, TargetRegion, TargetGateway:
		return true
	}
	return false
}

// checkServing judges one fault. A run that ends, or a second loss that begins,
// before the bound and before any clean second says nothing.
func (l *log) checkServing(fault eventlog.Event, next int64, losses []*loss, verdict *Verdict) {
	took, ok := l.service(fault.At, next, losses)
	if !ok && min(l.end, next)-fault.At < int64(returnBound+bucket) {
		return
	}
	verdict.Examined++
	if ok {
		verdict.worst(took.Seconds())
	}
	if !ok || took > returnBound {
		evidence := append([]eventlog.Event{fault}, l.firstDisturbed(fault.At+int64(returnBound), losses)...)
		verdict.violate(fmt.Sprintf("no second without a refusal within %v of %s %s", returnBound, fault.Detail, fault.Target), evidence...)
	}
}

// firstDisturbed is the answer of the first request from at on that was not
// served.
func (l *log) firstDisturbed(at int64, losses []*loss) []eventlog.Event {
	for _, of := range l.requestsBetween(at, l.end) {
		if of.disturbed() && !borne(of, losses) {
			return firstOf(of.answers, 1)
		}
	}
	return nil
}

// Settling of the work in flight after a step of the load.
const (
	settlingBound = 30 * time.Second
	// settledBand is the part of the final level within which load is settled.
	settledBand = 0.5
	// settlingTail is the part of the step at its end that gives the final level.
	settlingTail = 0.25
	// settlingMinimum is the shortest step that is judged.
	settlingMinimum = 10 * time.Second
)

// checkSettling measures the overshoot and the settling time of the fleet's work
// in flight after each step of the load.
func checkSettling(l *log, _ Options, verdict *Verdict) {
	verdict.Bound = &Bound{Allowed: settlingBound.Seconds(), Unit: "s to settle"}
	for i, fault := range l.faults {
		if fault.Detail != FaultCrowd {
			continue
		}
		end := l.end
		for _, later := range l.faults[i+1:] {
			if later.Detail == FaultCalm || later.Detail == FaultCrowd {
				end = later.At
				break
			}
		}
		if end-fault.At < int64(settlingMinimum) {
			continue
		}
		l.checkStep(fault, end, verdict)
	}
}

func (l *log) checkStep(fault eventlog.Event, end int64, verdict *Verdict) {
	levels := l.levels(fault.At, end)
	if len(levels) == 0 {
		return
	}
	verdict.Examined += len(levels)
	final := mean(levels[len(levels)-max(1, int(float64(len(levels))*settlingTail)):])
	peak, settled := 0.0, 0
	for i, level := range levels {
		peak = math.Max(peak, level)
		if math.Abs(level-final) > settledBand*math.Max(final, 1) {
			settled = i + 1
		}
	}
	took := time.Duration(settled) * bucket
	verdict.worst(took.Seconds())
	verdict.Remark = fmt.Sprintf("overshoot %.0f%%, settled after %v", 100*(peak/math.Max(final, 1)-1), took)
	if took > settlingBound || (settled == len(levels) && took >= settlingBound) {
		verdict.violate(fmt.Sprintf("work in flight had not settled %v after %s %s", took, fault.Detail, fault.Target), fault)
	}
}

// levels is the mean work in flight on all replicas in each second.
func (l *log) levels(from, to int64) []float64 {
	count := int((to - from) / int64(bucket))
	levels := make([]float64, count)
	for _, executed := range l.executed {
		ended, ok := l.ended[executed.Run]
		if !ok {
			continue
		}
		addOverlap(levels, executed.At-from, ended.At-from)
	}
	return levels
}

// addOverlap adds to each second the part of it that [start, end) covers.
func addOverlap(levels []float64, start, end int64) {
	width := int64(bucket)
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
