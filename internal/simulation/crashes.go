package simulation

import (
	"time"

	"github.com/deckpulley/deckpulley/storage"
)

// Faults that stop a machine, for a while or until it starts again.

func (w *world) crashOne() {
	m := w.target()
	if m.node == nil {
		return
	}
	w.count(FaultCrash)
	m.crash()
	w.after(w.between(restartLeast, restartMost), m.restart)
}

func (w *world) planCrash() {
	m := w.target()
	if m.node != nil {
		m.store.ScheduleCrash(storage.CrashPlan{Write: 1 + w.random.IntN(writesAhead), AfterWrite: w.chance(0.5)})
	}
}

func (w *world) crashAll() {
	w.count(FaultCrashAll)
	for _, m := range w.present() {
		m.crash()
		w.after(w.between(restartLeast, restartMost), m.restart)
	}
}

func (w *world) freezeOne() {
	m := w.target()
	if !m.up() {
		return
	}
	w.count(FaultFreeze)
	m.frozen = true
	w.after(w.between(freezeLeast, freezeMost), m.thaw)
}

// stallOne plans a slow write, or a freeze right after one.
func (w *world) stallOne() {
	if m := w.target(); m.up() {
		m.stall = w.between(freezeLeast, pick(w, []time.Duration{2 * freezeLeast, freezeMost}))
	}
}
