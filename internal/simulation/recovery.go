package simulation

import (
	"fmt"

	"github.com/deckpulley/deckpulley/storage"
)

// The end of a history: no more faults, and everything has to work again.

// healEverything ends all faults.
func (w *world) healEverything() {
	clear(w.network.cuts)
	w.network.usual = 0
	w.network.setUsual()
	for _, m := range w.present() {
		if w.broken() {
			return
		}
		if m.node == nil {
			m.restart()
		} else {
			m.store.ScheduleCrash(storage.CrashPlan{})
			m.stall = 0
			m.thaw()
		}
	}
	w.healGateways()
}

// recovered tells whether everything works as before.
func (w *world) recovered() bool {
	for _, o := range w.operators {
		if !o.done() {
			return false
		}
	}
	leader := w.leader()
	if leader == nil || !leader.repairDone() {
		return false
	}
	for _, m := range w.present() {
		if m.retiring || !m.up() || !m.votes() {
			return false
		}
	}
	return w.gatewaysRecovered()
}

// stuck says what has not recovered.
func (w *world) stuck() string {
	text := ""
	for _, o := range w.operators {
		if o.open != nil {
			text += fmt.Sprintf("%s waits for %s; ", o.name, o.open.order.ID)
		}
	}
	for _, m := range w.present() {
		if m.node == nil {
			text += m.name + " is down; "
			continue
		}
		text += m.describe()
	}
	return text + w.stuckGateways()
}

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
