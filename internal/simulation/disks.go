package simulation

import (
	"fmt"

	"github.com/deckpulley/deckpulley/internal/defect"
)

// This file contains the faults that lose a disk or replace a machine.

// mayLoseDisk reports whether some machine leads a complete group that contains no lost
// disk. Only then must the group tolerate the loss of a disk.
func (w *world) mayLoseDisk() bool {
	for _, m := range w.machines {
		if m.leadsCompleteGroup() && !w.hasLostMember(m) {
			return true
		}
	}
	return false
}

// hasLostMember reports whether a machine's membership still contains a member whose
// disk was lost.
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

// wipeDisk crashes a machine and replaces its disk with an empty one with a new identity.
// The machine restarts later at the same address.
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

// replaceable reports whether a machine is a voter without a replacement under way.
func (w *world) replaceable(m *machine) bool {
	if m.retiring || m.node == nil || !m.isVoter() {
		return false
	}
	return replacedBy(m.node.Status().Membership, m.joinRequest()) < 0
}

// replaceMachine removes a machine permanently and later starts another one at a new
// address.
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
	replacement := w.newReplacement(old)
	w.schedule(w.between(minDowntime, maxDowntime), replacement.restart)
}

// newReplacement creates a stopped machine at a new address that replaces another one.
func (w *world) newReplacement(old *machine) *machine {
	w.namesIssued++
	replacement := w.newMachine(fmt.Sprintf("control-%d", w.namesIssued), old.name)
	stored, _ := replacement.store.Load()
	w.checks.assignDisk(stored.Identity, replacement)
	return replacement
}

// replaceRunningMachine starts a machine that replaces another one, which runs until the
// replacement is complete.
func (w *world) replaceRunningMachine() {
	if !w.mayLoseDisk() {
		return
	}
	old := w.pickTarget()
	if !w.replaceable(old) {
		return
	}
	w.countFault(FaultPlannedReplace)
	old.retiring = true
	w.newReplacement(old).restart()
	w.scheduleRetirement(old)
}

// scheduleRetirement stops a replaced machine some time after its removal from the
// membership.
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
