package simulation

import (
	"fmt"

	"github.com/deckpulley/deckpulley/internal/defect"
)

// Faults that lose a disk or replace a machine.

// mayLose tells whether the group reports itself whole, so that it must bear
// the loss of a disk.
func (w *world) mayLose() bool {
	for _, m := range w.machines {
		if m.repairDone() && !w.holdsLost(m) {
			return true
		}
	}
	return false
}

// holdsLost tells whether a leader has not yet noticed an earlier loss.
func (w *world) holdsLost(m *machine) bool {
	for _, member := range m.node.Status().Membership.Members {
		if w.faults.lost[member.ID] {
			return true
		}
	}
	return false
}

func (w *world) wipeOne() {
	if w.mayLose() {
		w.wipe(w.target(), FaultWipe)
	}
}

// wipe takes a machine's disk away. It comes back empty at the same address.
func (w *world) wipe(m *machine, kind FaultKind) {
	if m.gone {
		return
	}
	w.count(kind)
	m.crash()
	identity := w.newIdentity()
	if w.has(defect.KeepIdentity) {
		identity = m.identity
	} else {
		w.faults.lost[m.identity] = true
	}
	m.store.Wipe(identity)
	w.checks.owns(identity, m)
	w.after(w.between(restartLeast, restartMost), m.restart)
}

// replaceable tells whether a machine votes and has no successor yet.
func (w *world) replaceable(m *machine) bool {
	if m.retiring || m.node == nil || !m.votes() {
		return false
	}
	return replacedBy(m.node.Status().Membership, joining{member: m.member(m.identity), replaces: m.replaces}) < 0
}

// replaceOne takes a machine away for good and starts another one elsewhere.
func (w *world) replaceOne() {
	if !w.mayLose() {
		return
	}
	old := w.target()
	if !w.replaceable(old) {
		return
	}
	w.count(FaultReplace)
	w.faults.lost[old.identity] = true
	old.crash()
	old.gone = true
	w.named++
	fresh := w.newMachine(fmt.Sprintf("control-%d", w.named), old.name)
	held, _ := fresh.store.Load()
	w.checks.owns(held.Identity, fresh)
	w.after(w.between(restartLeast, restartMost), fresh.restart)
}

// swapOne starts a machine that is to take the place of one that still runs.
func (w *world) swapOne() {
	if !w.mayLose() {
		return
	}
	old := w.target()
	if !w.replaceable(old) {
		return
	}
	w.count(FaultSwap)
	old.retiring = true
	w.named++
	fresh := w.newMachine(fmt.Sprintf("control-%d", w.named), old.name)
	held, _ := fresh.store.Load()
	w.checks.owns(held.Identity, fresh)
	fresh.restart()
	w.retireLater(old)
}

// retireLater switches a replaced machine off some time after its removal.
func (w *world) retireLater(old *machine) {
	w.after(w.between(restartLeast, restartMost), func() {
		leader := w.leader()
		if leader == nil || leader.holds(old.identity) {
			w.retireLater(old)
			return
		}
		old.crash()
		old.gone = true
	})
}
