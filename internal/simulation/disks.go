package simulation

import (
	"fmt"

	"github.com/deckpulley/deckpulley/internal/defect"
)

// Faults that lose a disk or replace a machine.

// mayLoseDisk tells whether the group reports itself whole, so that it must bear
// the loss of a disk.
func (w *world) mayLoseDisk() bool {
	for _, m := range w.machines {
		if m.isRepaired() && !w.hasLostMember(m) {
			return true
		}
	}
	return false
}

// hasLostMember tells whether a leader has not yet noticed an earlier loss.
func (w *world) hasLostMember(m *machine) bool {
	for _, member := range m.node.Status().Membership.Members {
		if w.faults.lostDisks[member.ID] {
			return true
		}
	}
	return false
}

func (w *world) wipeTarget() {
	if w.mayLoseDisk() {
		w.wipeDisk(w.pickTarget(), FaultWipe)
	}
}

// wipeDisk takes a machine's disk away. It comes back empty at the same address.
func (w *world) wipeDisk(m *machine, kind FaultKind) {
	if m.removed {
		return
	}
	w.countFault(kind)
	m.crash()
	identity := w.newIdentity()
	if w.hasDefect(defect.KeepIdentity) {
		identity = m.identity
	} else {
		w.faults.lostDisks[m.identity] = true
	}
	m.store.Wipe(identity)
	w.checks.assignDisk(identity, m)
	w.schedule(w.between(minDowntime, maxDowntime), m.restart)
}

// replaceable tells whether a machine votes and has no successor yet.
func (w *world) replaceable(m *machine) bool {
	if m.retiring || m.node == nil || !m.isVoter() {
		return false
	}
	return replacedBy(m.node.Status().Membership, joinRequest{member: m.asMember(m.identity), replaces: m.replaces}) < 0
}

// replaceMachine takes a machine away for good and starts another one elsewhere.
func (w *world) replaceMachine() {
	if !w.mayLoseDisk() {
		return
	}
	old := w.pickTarget()
	if !w.replaceable(old) {
		return
	}
	w.countFault(FaultReplace)
	w.faults.lostDisks[old.identity] = true
	old.crash()
	old.removed = true
	w.namesIssued++
	fresh := w.newMachine(fmt.Sprintf("control-%d", w.namesIssued), old.name)
	held, _ := fresh.store.Load()
	w.checks.assignDisk(held.Identity, fresh)
	w.schedule(w.between(minDowntime, maxDowntime), fresh.restart)
}

// swapMachine starts a machine that is to take the place of one that still runs.
func (w *world) swapMachine() {
	if !w.mayLoseDisk() {
		return
	}
	old := w.pickTarget()
	if !w.replaceable(old) {
		return
	}
	w.countFault(FaultPlannedReplace)
	old.retiring = true
	w.namesIssued++
	fresh := w.newMachine(fmt.Sprintf("control-%d", w.namesIssued), old.name)
	held, _ := fresh.store.Load()
	w.checks.assignDisk(held.Identity, fresh)
	fresh.restart()
	w.scheduleRetirement(old)
}

// scheduleRetirement switches a replaced machine off some time after its removal.
func (w *world) scheduleRetirement(old *machine) {
	w.schedule(w.between(minDowntime, maxDowntime), func() {
		leader := w.leader()
		if leader == nil || leader.hasMember(old.identity) {
			w.scheduleRetirement(old)
			return
		}
		old.crash()
		old.removed = true
	})
}
