package checker

import (
	"fmt"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// checkResentOrders compares every answer to a resent order with its first one.
func checkResentOrders(l *log, _ Options, verdict *Verdict) {
	inEffect := map[string]eventlog.Event{}
	for _, read := range l.reads {
		if _, ok := inEffect[read.Target]; !ok && read.Kind == eventlog.ConfigurationRead {
			inEffect[read.Target] = read
		}
	}
	for _, of := range l.orders {
		if len(of.sends) < 2 || len(of.answers) == 0 {
			continue
		}
		verdict.Examined += len(of.answers)
		checkSameAnswer(of, verdict)
		answer, refused := of.refused()
		read, effective := inEffect[of.digest()]
		if refused && effective && of.detail() == DetailConfiguration {
			verdict.violate(fmt.Sprintf("order %s was refused on resending though it is in effect", of.id), answer, read)
		}
	}
}

func checkSameAnswer(of *order, verdict *Verdict) {
	first := of.answers[0]
	for _, answer := range of.answers[1:] {
		if answer.Outcome != first.Outcome || answer.Version != first.Version {
			summary := fmt.Sprintf("order %s was answered %s (version %d), then %s (version %d)",
				of.id, first.Outcome, first.Version, answer.Outcome, answer.Version)
			verdict.violate(summary, first, answer)
			return
		}
	}
}

// silence is a time in which a control node was frozen or cut off.
type silence struct {
	start, end eventlog.Event
}

// silences pairs freezes with thaws and cuts with heals of control nodes.
func (l *log) silences() []silence {
	open := map[string]eventlog.Event{}
	var list []silence
	for _, fault := range l.faults {
		switch fault.Detail {
		case FaultFreeze, FaultCut:
			open[fault.Target] = fault
		case FaultThaw, FaultHeal:
			start, ok := open[fault.Target]
			delete(open, fault.Target)
			if ok && after(start, fault) >= silenceLength && concernsControl(start) {
				list = append(list, silence{start: start, end: fault})
			}
		}
	}
	return list
}

func concernsControl(fault eventlog.Event) bool {
	switch fault.Class {
	case TargetControl, TargetControls, TargetZone, TargetRegion:
		return true
	}
	return false
}

// checkSuccession looks for two histories of the registry around the silence of
// a control node: one serial with two versions in replicas' stamps, an order
// answered with a serial no newer than one that had been answered before it was
// sent, or an order that a node accepted while it was cut off.
func checkSuccession(l *log, _ Options, verdict *Verdict) {
	for _, silence := range l.silences() {
		from, to := silence.start.At, silence.end.At+int64(successionWindow)
		checkStampedSerials(l, from, to, verdict)
		checkAcceptedSerials(l, from, to, verdict)
		checkAcceptedInSilence(l, silence, verdict)
	}
}

// checkAcceptedInSilence examines the orders sent to a node that is cut off from
// all others.
func checkAcceptedInSilence(l *log, silence silence, verdict *Verdict) {
	if silence.start.Detail != FaultCut {
		return
	}
	silent := l.silentControls(silence)
	for _, of := range l.orders {
		verdict.Examined += sentInSilence(of, silence, silent)
		for _, answer := range of.answers {
			if answer.Outcome == OrderAccepted && silent[answer.Gateway] && firstSent(of, answer.Gateway) > silence.start.At && answer.At < silence.end.At {
				verdict.violate(fmt.Sprintf("order %s was accepted by %s while it was cut off", of.id, silence.start.Target), silence.start, answer)
			}
		}
	}
}

// silentControls are the addresses of the control nodes that a silence is about.
func (l *log) silentControls(silence silence) map[string]bool {
	silent := map[string]bool{}
	for _, node := range l.controls {
		if node.Target == silence.start.Target || (silence.start.Region != "" && node.Region == silence.start.Region) {
			silent[node.Gateway] = true
		}
	}
	return silent
}

// sentInSilence counts the sends of an order to silent nodes during their silence.
func sentInSilence(of *order, silence silence, silent map[string]bool) int {
	count := 0
	for _, sent := range of.sends {
		if silent[sent.Gateway] && sent.At > silence.start.At && sent.At < silence.end.At {
			count++
		}
	}
	return count
}

// firstSent is the stamp of the first send of an order to a node.
func firstSent(of *order, address string) int64 {
	for _, sent := range of.sends {
		if sent.Gateway == address {
			return sent.At
		}
	}
	return 0
}

func checkStampedSerials(l *log, from, to int64, verdict *Verdict) {
	first := map[uint32]eventlog.Event{}
	for _, received := range l.receivedAfter(from) {
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
			verdict.violate(fmt.Sprintf("serial %d stood for versions %d and %d", received.Serial, seen.Version, received.Version), seen, received)
			return
		}
	}
}

func checkAcceptedSerials(l *log, from, to int64, verdict *Verdict) {
	accepted := l.acceptedSerials()
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
				later.order.id, later.answer.Serial, earlier.order.id, earlier.answer.Serial)
			verdict.violate(summary, earlier.answer, later.answer)
			return
		}
	}
}

// acceptedSerials are the acknowledgements that carry a serial.
func (l *log) acceptedSerials() []acknowledgement {
	var accepted []acknowledgement
	for _, of := range l.orders {
		if answer, ok := of.accepted(); ok && answer.Serial != 0 {
			accepted = append(accepted, acknowledgement{order: of, answer: answer})
		}
	}
	return accepted
}

// contradicts reports whether another order was sent after this one's
// acknowledgement and got a serial that is no newer.
func (earlier acknowledgement) contradicts(later acknowledgement) bool {
	if earlier.order == later.order || earlier.answer.At >= later.order.sends[0].At {
		return false
	}
	return !serialLess(earlier.answer.Serial, later.answer.Serial)
}

// serialLess compares serials by RFC 1982.
func serialLess(a, b uint32) bool {
	return a != b && b-a < 1<<31
}
