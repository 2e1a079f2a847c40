package checker

import (
	"math"
	"slices"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// failure is a time in which a control node, a zone or a region is down.
type failure struct {
	fault eventlog.Event
	// region is down. Requests with no other home can't be served.
	region string
	// partitioned is set if callers of the region still reach its gateways, which must
	// not place requests.
	partitioned bool
	// end is the time at which it was up again, or unending.
	end int64
}

// unending is the end of a failure that lasts to the end of the run.
const unending = math.MaxInt64

func newFailure(fault eventlog.Event) *failure {
	return &failure{fault: fault, region: fault.Region, partitioned: fault.Detail == FaultCut, end: unending}
}

// explains reports whether the failure alone is a reason not to serve a request.
func (f *failure) explains(request *request) bool {
	if f.region == "" {
		return false
	}
	if f.partitioned && request.first.Region == f.region {
		return true
	}
	return len(request.homeRegions) == 1 && request.homeRegions[0] == f.region
}

// explained reports whether one of the failures explains that a request was not served.
func explained(request *request, failures []*failure) bool {
	return slices.ContainsFunc(failures, func(known *failure) bool { return known.explains(request) })
}

// findFailures pairs the faults of control nodes, zones and regions with their ends: a
// thaw, heal or start of the same target or, for a disk that was wiped or a machine that
// was replaced, the repair.
func findFailures(faults []eventlog.Event) []*failure {
	var list []*failure
	for _, fault := range faults {
		switch fault.Detail {
		case FaultKill, FaultFreeze, FaultWipe, FaultCut:
			if fault.Class != TargetGateway && fault.Class != TargetReplica {
				list = append(list, newFailure(fault))
			}
		case FaultThaw:
			endFailures(list, fault, FaultFreeze)
		case FaultHeal:
			endFailures(list, fault, FaultCut)
		case FaultStart:
			endFailures(list, fault, FaultKill)
		case FaultRepaired:
			endRepaired(list, fault)
		}
	}
	return list
}

// endRepaired ends the failures that only the repair of the control group ends.
func endRepaired(list []*failure, by eventlog.Event) {
	for _, known := range list {
		if known.end == unending && (known.fault.Detail == FaultWipe || known.fault.Detail == FaultKill) {
			known.end = by.At
		}
	}
}

// endFailures ends the failures of the target that a fault with this detail began.
func endFailures(list []*failure, by eventlog.Event, detail string) {
	for _, known := range list {
		if known.end == unending && known.fault.Detail == detail && known.fault.Target == by.Target {
			known.end = by.At
		}
	}
}

// around returns the other failures during which a fault began, and the time at which
// the next one after it begins.
func (x *index) around(fault eventlog.Event) (during []*failure, next int64) {
	next = unending
	for _, known := range x.failures {
		start := known.fault.At
		switch {
		case start == fault.At && known.fault.Target == fault.Target:
		case start <= fault.At && known.end > fault.At:
			during = append(during, known)
		case start > fault.At:
			next = min(next, start)
		}
	}
	return during, next
}

// isFailure reports whether a fault is the failure of one machine, zone or region.
func isFailure(fault eventlog.Event) bool {
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
