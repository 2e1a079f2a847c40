package checker

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

const (
	// interval is the length of the intervals over which requests and load are counted.
	interval = time.Second
	// recoveryBound is the longest time from a fault, or from the start of machines,
	// until requests are served again.
	recoveryBound = 12 * time.Second
)

// checkRecovery measures the time from the start of the fleet or of all control nodes
// until requests are served.
func checkRecovery(x *index, _ Options, verdict *Verdict) {
	verdict.Bound = &Bound{Allowed: recoveryBound.Seconds(), Unit: "s"}
	for _, fault := range x.faults {
		if fault.Detail == FaultStart && (fault.Class == TargetFleet || fault.Class == TargetControls) {
			_, next := x.overlappingFailures(fault)
			x.checkServing(fault, next, nil, verdict)
		}
	}
}

// checkFailures measures the time from the failure of one machine, zone or region until
// the others serve without a refusal. The failure of a control node, zone or region is
// examined only if nothing else was down when it began.
func checkFailures(x *index, _ Options, verdict *Verdict) {
	verdict.Bound = &Bound{Allowed: recoveryBound.Seconds(), Unit: "s"}
	for _, fault := range x.faults {
		if !isFailure(fault) {
			continue
		}
		during, next := x.overlappingFailures(fault)
		if fault.Class != TargetGateway && len(during) > 0 {
			continue
		}
		x.checkServing(fault, next, append(during, newFailure(fault)), verdict)
	}
}

// checkServing examines the service after one fault. It adds no result if the run ends
// or the next failure begins before the bound is reached and before any clean interval.
func (x *index) checkServing(fault eventlog.Event, next int64, failures []*failure, verdict *Verdict) {
	took, ok := x.timeToServe(fault.At, next, failures)
	if !ok && min(x.end, next)-fault.At < int64(recoveryBound+interval) {
		return
	}
	verdict.Examined++
	if ok {
		verdict.measure(took.Seconds())
	}
	if !ok || took > recoveryBound {
		evidence := append([]eventlog.Event{fault}, x.firstAffected(fault.At+int64(recoveryBound), failures)...)
		verdict.addViolation(fmt.Sprintf("no second without a refusal within %v of %s %s", recoveryBound, fault.Detail, fault.Target), evidence...)
	}
}

// timeToServe returns the time from start to the first clean interval that is not
// followed by an outage within the bound. An interval, counted from start, is clean if
// requests began in it and none was refused or lost. It is an outage if at least half of
// them were. Clean intervals before an outage do not count as recovery, because gateways
// go on serving until the leases of a failed grantor expire.
func (x *index) timeToServe(start, limit int64, failures []*failure) (time.Duration, bool) {
	clean, found := time.Duration(0), false
	for from := start; from+int64(interval) <= min(x.end, limit); from += int64(interval) {
		since := time.Duration(from - start)
		if found && since > recoveryBound {
			break
		}
		counted, affected := countAffected(x.requestsBetween(from, from+int64(interval)), failures)
		switch {
		case !found && counted > 0 && affected == 0:
			clean, found = since, true
		case found && counted > 0 && 2*affected >= counted:
			found = false
		}
	}
	return clean, found
}

// countAffected returns the number of requests that none of the failures excuses from
// being served, and how many of these were refused or lost.
func countAffected(requests []*request, failures []*failure) (counted, affected int) {
	for _, request := range requests {
		if explained(request, failures) {
			continue
		}
		counted++
		if request.affected() {
			affected++
		}
	}
	return counted, affected
}

// firstAffected returns the first answer to the first request, from the given time on,
// that was refused or lost although none of the failures explains it.
func (x *index) firstAffected(from int64, failures []*failure) []eventlog.Event {
	for _, request := range x.requestsBetween(from, x.end) {
		if request.affected() && !explained(request, failures) {
			return firstOf(request.answers, 1)
		}
	}
	return nil
}
