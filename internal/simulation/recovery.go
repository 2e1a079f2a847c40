package simulation

import (
	"fmt"

	"github.com/deckpulley/deckpulley/storage"
)

// This file implements the end of a history, when the faults end and the service must
// recover.

// endFaults ends all faults and restarts the stopped machines and gateways.
func (w *world) endFaults() {
	clear(w.network.blocked)
	w.network.baseLoss = 0
	w.network.resetConditions()
	for _, m := range w.activeMachines() {
		if w.violated() {
			return
		}
		if m.node == nil {
			m.restart()
		} else {
			m.store.ScheduleCrash(storage.CrashPlan{})
			m.plannedStall = 0
			m.unfreeze()
		}
	}
	w.recoverGateways()
}

// recovered reports whether every operation is answered, the group is complete and all
// gateways place requests according to the newest serial.
func (w *world) recovered() bool {
	for _, o := range w.operators {
		if !o.idle() {
			return false
		}
	}
	leader := w.leader()
	if leader == nil || !leader.leadsCompleteGroup() {
		return false
	}
	for _, m := range w.activeMachines() {
		if m.retiring || !m.up() || !m.isVoter() {
			return false
		}
	}
	return w.gatewaysRecovered()
}

// describeUnrecovered describes the pending operations and the state of all machines and
// gateways, for a violation of RuleProgress.
func (w *world) describeUnrecovered() string {
	text := ""
	for _, o := range w.operators {
		if o.pending != nil {
			text += fmt.Sprintf("%s waits for %s; ", o.name, o.pending.operation.ID)
		}
	}
	for _, m := range w.activeMachines() {
		if m.node == nil {
			text += m.name + " is down; "
			continue
		}
		text += m.describe()
	}
	return text + w.describeGateways()
}

// describe returns the state of a running machine.
func (m *machine) describe() string {
	status := m.node.Status()
	text := fmt.Sprintf("%s (%s, retiring %v) role %d term %d commit %d last %d serial %d, members", m.name, m.identity,
		m.retiring, status.Role, status.Term, status.Commit, status.LastIndex, m.state.serial())
	for _, member := range status.Membership.Members {
		text += fmt.Sprintf(" %s=%s", member.Name, member.ID)
		if member.Learner {
			text += "(learner)"
		}
	}
	return text + "; "
}
