package checker

import (
	"fmt"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// checkDurability examines what operators read back if control nodes were killed or
// wiped between the acknowledgement of an operation and the reading.
func checkDurability(x *index, _ Options, verdict *Verdict) {
	for _, ack := range x.acknowledgements(DetailConfiguration) {
		checkConfigurationPreserved(x, ack, verdict)
	}
	for _, ack := range x.acknowledgements(DetailEvacuate) {
		checkEvacuationPreserved(x, ack, verdict)
	}
}

func checkConfigurationPreserved(x *index, ack acknowledgement, verdict *Verdict) {
	for _, read := range x.reads {
		if read.Kind != eventlog.ConfigurationRead || !x.dataLossBetween(ack.answer.At, read.At) {
			continue
		}
		verdict.Examined++
		if ack.contradictedBy(read) {
			summary := fmt.Sprintf("the acknowledged document of version %d was lost: a later read returned another document, of version %d", ack.answer.Version, read.Version)
			verdict.addViolation(summary, ack.answer, read)
			return
		}
	}
}

// contradictedBy reports whether a read shows that the configuration was lost: it
// returned an older version, or another document under the same version.
func (a acknowledgement) contradictedBy(read eventlog.Event) bool {
	if read.Version < a.answer.Version {
		return true
	}
	return read.Version == a.answer.Version && read.Target != a.operation.digest()
}

// dataLossBetween reports whether control nodes were wiped or killed in (from, to], so
// that unreplicated or unwritten state may be lost.
func (x *index) dataLossBetween(from, to int64) bool {
	for _, fault := range x.faults {
		if fault.At > from && fault.At <= to && isDataLoss(fault) {
			return true
		}
	}
	return false
}

func isDataLoss(fault eventlog.Event) bool {
	if fault.Detail != FaultWipe && fault.Detail != FaultKill {
		return false
	}
	return fault.Class == TargetControl || fault.Class == TargetControls || fault.Class == TargetFleet
}

func checkEvacuationPreserved(x *index, ack acknowledgement, verdict *Verdict) {
	zone, withdrawn := ack.operation.zone(), x.withdrawalAfter(ack)
	for _, read := range x.reads {
		if read.Kind != eventlog.ZonesRead || read.Zone != zone {
			continue
		}
		if !x.dataLossBetween(ack.answer.At, read.At) || (withdrawn != 0 && read.At > withdrawn) {
			continue
		}
		verdict.Examined++
		if read.Detail != DetailEvacuated {
			verdict.addViolation(fmt.Sprintf("acknowledged evacuation of %s was lost: a later read did not return it", zone), ack.answer, read)
			return
		}
	}
}

// withdrawalAfter returns the time of the first withdrawal of the zone that was sent
// after the acknowledgement; 0 if there is none.
func (x *index) withdrawalAfter(ack acknowledgement) int64 {
	for _, operation := range x.operations {
		if operation.detail() != DetailWithdraw || operation.zone() != ack.operation.zone() {
			continue
		}
		if sent := operation.sends[0].At; sent > ack.answer.At {
			return sent
		}
	}
	return 0
}
