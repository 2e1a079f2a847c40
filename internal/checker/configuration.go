package checker

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// acknowledgement is the first acceptance of an order.
type acknowledgement struct {
	order  *order
	answer eventlog.Event
}

// acknowledgements lists accepted orders of one detail, in order of their first
// acceptance.
func (l *log) acknowledgements(detail string) []acknowledgement {
	var list []acknowledgement
	for _, of := range l.orders {
		if of.detail() != detail {
			continue
		}
		if answer, ok := of.accepted(); ok {
			list = append(list, acknowledgement{order: of, answer: answer})
		}
	}
	return list
}

// checkConfigurationBound finds requests stamped with an older version that
// reached a replica after an acknowledgement.
func checkConfigurationBound(l *log, _ Options, verdict *Verdict) {
	verdict.Bound = &Bound{Allowed: configurationBound.Seconds(), Unit: "s"}
	for _, ack := range l.acknowledgements(DetailConfiguration) {
		late := eventlog.Event{}
		for _, received := range l.receivedAfter(ack.answer.At) {
			if after(ack.answer, received) > configurationBound {
				verdict.Examined++
			}
			if received.Version >= ack.answer.Version {
				continue
			}
			verdict.worst(after(ack.answer, received).Seconds())
			if after(ack.answer, received) > configurationBound && late.At == 0 {
				late = received
			}
		}
		if late.At != 0 {
			summary := fmt.Sprintf("version %d decided by %s reached %s %.2f s after version %d was acknowledged",
				late.Version, late.Gateway, replicaOf(late), after(ack.answer, late).Seconds(), ack.answer.Version)
			verdict.violate(summary, ack.answer, late)
		}
	}
}

// checkStepsBack follows the versions per replica (executions) and per gateway
// (what it sent), and the use of an old version after any replica saw a newer.
func checkStepsBack(l *log, _ Options, verdict *Verdict) {
	verdict.Bound = &Bound{Allowed: arrivalSkew.Seconds(), Unit: "s of crossing"}
	checkReplicaVersions(l, verdict)
	checkGatewayVersions(l, verdict)
	checkOldVersions(l, verdict)
}

func checkReplicaVersions(l *log, verdict *Verdict) {
	newest := map[string]eventlog.Event{}
	for _, executed := range l.executed {
		verdict.Examined++
		seen := newest[replicaOf(executed)]
		if executed.Version < seen.Version {
			verdict.violate(fmt.Sprintf("%s ran version %d after %d", replicaOf(executed), executed.Version, seen.Version), seen, executed)
			continue
		}
		newest[replicaOf(executed)] = executed
	}
}

func checkGatewayVersions(l *log, verdict *Verdict) {
	// firsts holds, per gateway, the first line of each rise of its version.
	firsts := map[string][]eventlog.Event{}
	for _, received := range l.received {
		if received.Gateway == "" {
			continue
		}
		rises := firsts[received.Gateway]
		if len(rises) == 0 || received.Version > rises[len(rises)-1].Version {
			firsts[received.Gateway] = append(rises, received)
			continue
		}
		newer, ok := firstNewer(rises, received.Version)
		if !ok {
			continue
		}
		verdict.worst(after(newer, received).Seconds())
		if after(newer, received) > arrivalSkew {
			verdict.violate(fmt.Sprintf("%s placed by version %d after %d", received.Gateway, received.Version, newer.Version), newer, received)
		}
	}
}

// firstNewer is the first rise beyond version.
func firstNewer(rises []eventlog.Event, version uint64) (eventlog.Event, bool) {
	for _, rise := range rises {
		if rise.Version > version {
			return rise, true
		}
	}
	return eventlog.Event{}, false
}

func checkOldVersions(l *log, verdict *Verdict) {
	var rises []eventlog.Event
	for _, received := range l.received {
		if len(rises) == 0 || received.Version > rises[len(rises)-1].Version {
			rises = append(rises, received)
		}
	}
	reported := map[uint64]bool{}
	for _, executed := range l.executed {
		newer, ok := firstNewer(rises, executed.Version)
		if !ok || executed.At < newer.At || after(newer, executed) <= configurationBound || reported[newer.Version] {
			continue
		}
		reported[newer.Version] = true
		summary := fmt.Sprintf("%s ran version %d, %.2f s after %s had seen version %d",
			replicaOf(executed), executed.Version, after(newer, executed).Seconds(), replicaOf(newer), newer.Version)
		verdict.violate(summary, newer, executed)
	}
}

// checkDurability examines what operators read back after a disk was wiped or
// replaced, or control nodes were killed, since an acknowledgement.
func checkDurability(l *log, _ Options, verdict *Verdict) {
	for _, ack := range l.acknowledgements(DetailConfiguration) {
		for _, read := range l.reads {
			if read.Kind != eventlog.ConfigurationRead || !l.lossBetween(ack.answer.At, read.At) {
				continue
			}
			verdict.Examined++
			if lost(ack, read) {
				verdict.violate(fmt.Sprintf("acknowledged version %d was gone at a later reading of version %d", ack.answer.Version, read.Version), ack.answer, read)
				break
			}
		}
	}
	for _, ack := range l.acknowledgements(DetailEvacuate) {
		checkEvacuationKept(l, ack, verdict)
	}
}

// lost reports whether the reading contradicts the acknowledgement.
func lost(ack acknowledgement, read eventlog.Event) bool {
	if read.Version < ack.answer.Version {
		return true
	}
	return read.Version == ack.answer.Version && read.Target != ack.order.digest()
}

func (l *log) lossBetween(from, to int64) bool {
	_, ok := l.faultBetween(from, to, func(fault eventlog.Event) bool {
		if fault.Detail != FaultWipe && fault.Detail != FaultKill {
			return false
		}
		return fault.Class == TargetControl || fault.Class == TargetControls || fault.Class == TargetFleet
	})
	return ok
}

func checkEvacuationKept(l *log, ack acknowledgement, verdict *Verdict) {
	withdrawn := l.withdrawalAfter(ack)
	for _, read := range l.reads {
		if read.Kind != eventlog.ZonesRead || read.Zone != ack.order.zone() {
			continue
		}
		if !l.lossBetween(ack.answer.At, read.At) || (withdrawn != 0 && read.At > withdrawn) {
			continue
		}
		verdict.Examined++
		if read.Detail != DetailEvacuated {
			verdict.violate(fmt.Sprintf("acknowledged evacuation of %s was gone at a later reading", ack.order.zone()), ack.answer, read)
			return
		}
	}
}

// withdrawalAfter is the stamp of the first withdrawal of the zone sent after
// the acknowledgement, or zero.
func (l *log) withdrawalAfter(ack acknowledgement) int64 {
	for _, of := range l.orders {
		if of.detail() != DetailWithdraw || of.zone() != ack.order.zone() {
			continue
		}
		if sent := of.sends[0].At; sent > ack.answer.At {
			return sent
		}
	}
	return 0
}

// checkEvacuations finds placements in a zone after its evacuation was
// acknowledged and before a withdrawal was sent.
func checkEvacuations(l *log, _ Options, verdict *Verdict) {
	verdict.Bound = &Bound{Allowed: evacuationBound.Seconds(), Unit: "s"}
	for _, ack := range l.acknowledgements(DetailEvacuate) {
		withdrawn := l.withdrawalAfter(ack)
		violated := false
		for _, received := range l.receivedAfter(ack.answer.At) {
			if withdrawn != 0 && received.At > withdrawn {
				break
			}
			verdict.Examined += countAfter(ack.answer, received, evacuationBound)
			if l.zoneOf(received) != ack.order.zone() {
				continue
			}
			verdict.worst(after(ack.answer, received).Seconds())
			if after(ack.answer, received) > evacuationBound && !violated {
				violated = true
				verdict.violate(fmt.Sprintf("%s got a request %.2f s after the evacuation of %s", replicaOf(received), after(ack.answer, received).Seconds(), ack.order.zone()), ack.answer, received)
			}
		}
	}
}

func countAfter(from, event eventlog.Event, bound time.Duration) int {
	if after(from, event) > bound {
		return 1
	}
	return 0
}

// checkRefusedOrders examines stamps and readings for documents that no order
// brought, and races of writers on one base.
func checkRefusedOrders(l *log, _ Options, verdict *Verdict) {
	refused := map[string]*order{}
	kept := map[string]bool{}
	for _, of := range l.orders {
		if of.detail() != DetailConfiguration {
			continue
		}
		if _, ok := of.refused(); ok {
			refused[of.digest()] = of
			verdict.Examined++
		} else {
			kept[of.digest()] = true
		}
	}
	for _, read := range l.reads {
		of, ok := refused[read.Target]
		if read.Kind != eventlog.ConfigurationRead || !ok || kept[read.Target] {
			continue
		}
		if len(of.sends) > 1 {
			continue // a resend that is refused while in effect is examined with resent orders
		}
		answer, _ := of.refused()
		verdict.violate(fmt.Sprintf("refused order %s is in effect as version %d", of.id, read.Version), answer, read)
	}
	checkRaces(l, verdict)
	checkStampedVersions(l, verdict)
}

func checkRaces(l *log, verdict *Verdict) {
	winners := map[uint64]acknowledgement{}
	for _, ack := range l.acknowledgements(DetailConfiguration) {
		base := ack.order.base()
		if other, ok := winners[base]; ok {
			verdict.violate(fmt.Sprintf("orders %s and %s both won on base version %d", other.order.id, ack.order.id, base), other.answer, ack.answer)
			continue
		}
		winners[base] = ack
	}
}

// checkStampedVersions finds stamps beyond every version that an order can have
// made.
func checkStampedVersions(l *log, verdict *Verdict) {
	possible := l.possibleVersions()
	reported := map[uint64]bool{}
	for _, received := range l.received {
		if received.Version == 0 || possible[received.Version] || reported[received.Version] {
			continue
		}
		reported[received.Version] = true
		verdict.violate(fmt.Sprintf("version %d decided a placement though no order made it", received.Version), received)
	}
}

// possibleVersions are those of accepted orders and those that an order with an
// unknown end may have made.
func (l *log) possibleVersions() map[uint64]bool {
	possible := map[uint64]bool{}
	for _, of := range l.orders {
		if of.detail() != DetailConfiguration {
			continue
		}
		if answer, ok := of.accepted(); ok {
			possible[answer.Version] = true
			continue
		}
		if _, ok := of.refused(); !ok {
			possible[of.base()+1] = true
		}
	}
	return possible
}
