package checker

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

const (
	// minimumIsolation is the length of the shortest isolation that is examined.
	minimumIsolation = 20 * time.Second
	// successionWindow is the time after the end of an isolation in which writes of the
	// former primary are still looked for.
	successionWindow = 10 * time.Second
)

// isolation is a period in which control nodes were frozen or partitioned from the
// others.
type isolation struct {
	start, end eventlog.Event
}

// isolations pairs the freezes of control nodes with their thaws, and the partitions with
// their heals.
func (x *index) isolations() []isolation {
	open := map[string]eventlog.Event{} // by target
	var list []isolation
	for _, fault := range x.faults {
		switch fault.Detail {
		case FaultFreeze, FaultCut:
			open[fault.Target] = fault
		case FaultThaw, FaultHeal:
			start, ok := open[fault.Target]
			delete(open, fault.Target)
			if ok && after(start, fault) >= minimumIsolation && concernsControl(start) {
				list = append(list, isolation{start: start, end: fault})
			}
		}
	}
	return list
}

// concernsControl reports whether a fault may affect control nodes.
func concernsControl(fault eventlog.Event) bool {
	switch fault.Class {
	case TargetControl, TargetControls, TargetZone, TargetRegion:
		return true
	}
	return false
}

// checkSuccession looks for a split brain, that is two diverging histories of the
// registry, around the isolation of control nodes. Its signs are one serial with two
// versions in the requests that replicas received, an operation written at a serial no
// newer than one acknowledged before the operation was sent, and an operation that an
// isolated node accepted.
func checkSuccession(x *index, _ Options, verdict *Verdict) {
	for _, isolated := range x.isolations() {
		from, to := isolated.start.At, isolated.end.At+int64(successionWindow)
		checkStampedSerials(x, from, to, verdict)
		checkAcceptedSerials(x, from, to, verdict)
		checkAcceptedInIsolation(x, isolated, verdict)
	}
}

// checkAcceptedInIsolation examines the operations sent to nodes while they were
// partitioned from all others. It skips frozen nodes, which cannot answer.
func checkAcceptedInIsolation(x *index, isolated isolation, verdict *Verdict) {
	if isolated.start.Detail != FaultCut {
		return
	}
	addresses := x.addressesOf(isolated)
	for _, operation := range x.operations {
		verdict.Examined += countSends(operation, isolated, addresses)
		for _, answer := range operation.answers {
			if answer.Outcome == OperationAccepted && addresses[answer.Gateway] &&
				firstSent(operation, answer.Gateway) > isolated.start.At && answer.At < isolated.end.At {
				summary := fmt.Sprintf("order %s was accepted by %s while it was partitioned", operation.id, isolated.start.Target)
				verdict.addViolation(summary, isolated.start, answer)
			}
		}
	}
}

// addressesOf returns the addresses of the isolated control nodes.
func (x *index) addressesOf(isolated isolation) map[string]bool {
	addresses := map[string]bool{}
	for _, node := range x.controls {
		if node.Target == isolated.start.Target || (isolated.start.Region != "" && node.Region == isolated.start.Region) {
			addresses[node.Gateway] = true
		}
	}
	return addresses
}

// countSends returns the number of sends to the addresses during an isolation.
func countSends(operation *operation, isolated isolation, addresses map[string]bool) int {
	count := 0
	for _, sent := range operation.sends {
		if addresses[sent.Gateway] && sent.At > isolated.start.At && sent.At < isolated.end.At {
			count++
		}
	}
	return count
}

// firstSent returns the time of the first send to an address; 0 if there is none.
func firstSent(operation *operation, address string) int64 {
	for _, sent := range operation.sends {
		if sent.Gateway == address {
			return sent.At
		}
	}
	return 0
}

// checkStampedSerials finds a serial that replicas received with two different versions.
func checkStampedSerials(x *index, from, to int64, verdict *Verdict) {
	first := map[uint32]eventlog.Event{} // by serial
	for _, received := range x.receivedAfter(from) {
		if received.At > to {
			return
		}
		if received.Serial == 0 {
			continue
		}
		verdict.Examined++
		seen, ok := first[received.Serial]
		if !ok {
			first[received.Serial] = received
			continue
		}
		if seen.Version != received.Version {
			verdict.addViolation(fmt.Sprintf("serial %d was received with versions %d and %d", received.Serial, seen.Version, received.Version), seen, received)
			return
		}
	}
}

// checkAcceptedSerials finds an operation written at a serial no newer than one
// acknowledged before it was sent.
func checkAcceptedSerials(x *index, from, to int64, verdict *Verdict) {
	accepted := x.acceptedSerials()
	for _, later := range accepted {
		if later.answer.At < from || later.answer.At > to {
			continue
		}
		verdict.Examined++
		for _, earlier := range accepted {
			if !earlier.contradicts(later) {
				continue
			}
			summary := fmt.Sprintf("order %s was written at serial %d after order %s had been acknowledged at %d",
				later.operation.id, later.answer.Serial, earlier.operation.id, earlier.answer.Serial)
			verdict.addViolation(summary, earlier.answer, later.answer)
			return
		}
	}
}

// acceptedSerials returns the acknowledgements that have a serial.
func (x *index) acceptedSerials() []acknowledgement {
	var accepted []acknowledgement
	for _, operation := range x.operations {
		if answer, ok := operation.accepted(); ok && answer.Serial != 0 {
			accepted = append(accepted, acknowledgement{operation: operation, answer: answer})
		}
	}
	return accepted
}

// contradicts reports whether a later operation was sent after this acknowledgement and
// written at a serial that is no newer.
func (a acknowledgement) contradicts(later acknowledgement) bool {
	if a.operation == later.operation || a.answer.At >= later.operation.sends[0].At {
		return false
	}
	return !serialLess(a.answer.Serial, later.answer.Serial)
}

// serialLess compares serials by the serial number arithmetic of RFC 1982.
func serialLess(a, b uint32) bool {
	return a != b && b-a < 1<<31
}
