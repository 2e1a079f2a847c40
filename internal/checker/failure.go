package checker

import (
	"math"
	"slices"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// failure is a period in which control nodes, a zone or a region are down.
type failure struct {
	fault eventlog.Event
	// region is the region that is down, empty if the failure is smaller than a region.
	// Requests whose only home region it is cannot be served.
	region string
	// partitioned is set if the region is cut off but not down: its callers still reach
	// its gateways, which must not place requests.
	partitioned bool
	// end is the time of the recovery, or unending.
	end int64
}

// unending is the end of a failure that lasts to the end of the run.
const unending = math.MaxInt64

func newFailure(fault eventlog.Event) *failure {
	return &failure{fault: fault, region: fault.Region, partitioned: fault.Detail == FaultCut, end: unending}
}

// explains reports whether the failure alone is a valid reason for not serving a
// request.
func (f *failure) explains(request *request) bool {
	if f.region == "" {
		return false
	}
	if f.partitioned && request.first.Region == f.region {
		return true
	}
	return len(request.homeRegions) == 1 && request.homeRegions[0] == f.region
}

// explained reports whether any of the failures is a valid reason for not serving the
// request.
func explained(request *request, failures []*failure) bool {
	return slices.ContainsFunc(failures, func(known *failure) bool { return known.explains(request) })
}

// findFailures pairs each fault of control nodes, a zone or a region with its end. That
// is a thaw, heal or start of the same target or, if a disk was wiped or a machine
// replaced, the repair of the control group.
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

// endRepaired ends the failures that end with the repair of the control group: wiped
// disks and killed machines that were replaced.
func endRepaired(list []*failure, by eventlog.Event) {
	for _, known := range list {
		if known.end == unending && (known.fault.Detail == FaultWipe || known.fault.Detail == FaultKill) {
			known.end = by.At
		}
	}
}

// endFailures ends the open failures of the same target that a fault with the given
// detail started.
func endFailures(list []*failure, by eventlog.Event, detail string) {
	for _, known := range list {
		if known.end == unending && known.fault.Detail == detail && known.fault.Target == by.Target {
			known.end = by.At
		}
	}
}

// overlappingFailures returns the other failures that were in progress when a fault
// began, and the start time of the next failure after it.
func (x *index) overlappingFailures(fault eventlog.Event) (during []*failure, next int64) {
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

// isFailure reports whether a fault is the failure of one control node, gateway, zone or
// region: it kills, freezes, wipes or cuts it off.
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
