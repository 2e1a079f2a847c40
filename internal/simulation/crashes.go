package simulation

import (
	"time"

	"github.com/deckpulley/deckpulley/storage"
)

// Faults that stop a machine, for a while or until it starts again.

func (w *world) crashMachine() {
	m := w.pickTarget()
	if m.node == nil {
		return
	}
	w.countFault(FaultCrash)
	m.crash()
	w.schedule(w.between(minDowntime, maxDowntime), m.restart)
}

func (w *world) scheduleCrashAtWrite() {
	m := w.pickTarget()
	if m.node != nil {
		m.store.ScheduleCrash(storage.CrashPlan{Write: 1 + w.random.IntN(maxWritesAhead), AfterWrite: w.chance(0.5)})
	}
}

func (w *world) crashAll() {
	w.countFault(FaultCrashAll)
	for _, m := range w.activeMachines() {
		m.crash()
		w.schedule(w.between(minDowntime, maxDowntime), m.restart)
	}
}

func (w *world) freezeMachine() {
	m := w.pickTarget()
	if !m.up() {
		return
	}
	w.countFault(FaultFreeze)
	m.frozen = true
	w.schedule(w.between(minFreeze, maxFreeze), m.unfreeze)
}

// stallMachine plans a slow write, or a freeze right after one.
func (w *world) stallMachine() {
	if m := w.pickTarget(); m.up() {
		m.plannedStall = w.between(minFreeze, pick(w, []time.Duration{2 * minFreeze, maxFreeze}))
	}
}
