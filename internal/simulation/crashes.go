package simulation

import (
	"time"

	"github.com/deckpulley/deckpulley/storage"
)

// This file contains the faults that stop a machine temporarily.

func (w *world) crashMachine() {
	m := w.pickTarget()
	if m.node == nil {
		return
	}
	w.countFault(FaultCrash)
	m.crash()
	w.schedule(w.between(minDowntime, maxDowntime), m.restart)
}

// scheduleCrashAtWrite makes a machine crash before or after one of its next writes.
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

// stallMachine makes a machine freeze after its next write and before it sends the messages
// that depend on the write, as a slow write does.
func (w *world) stallMachine() {
	if m := w.pickTarget(); m.up() {
		m.plannedStall = w.between(minFreeze, pick(w, []time.Duration{2 * minFreeze, maxFreeze}))
	}
}
