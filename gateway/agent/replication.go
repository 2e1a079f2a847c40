package agent

import (
	"fmt"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
)

// maxPending is the maximum number of received states that wait for activation.
const maxPending = 64

// applyTransfer applies a transfer to the table and adds the resulting state to the
// pending states. It reports whether the serial changed. After an error the replica is
// discarded, and the next renewal requests a full transfer. The caller holds the mutex.
func (a *Agent) applyTransfer(transfer registry.Transfer) (bool, error) {
	before := a.table.Serial()
	if err := a.table.ApplyTransfer(transfer); err != nil {
		a.discardTable()
		return false, fmt.Errorf("agent: applying a transfer: %w", err)
	}
	view := a.table.View()
	if view.Serial() == before {
		return false, nil
	}
	state, err := a.readState(view, transfer)
	if err != nil {
		a.discardTable()
		return false, fmt.Errorf("agent: reading serial %d: %w", view.Serial(), err)
	}
	a.newest = state
	a.pending = append(a.pending, state)
	if len(a.pending) > maxPending {
		// The oldest can be activated soonest and the newest is the latest state, so a
		// state in the middle is dropped.
		middle := len(a.pending) / 2
		a.pending = append(a.pending[:middle], a.pending[middle+1:]...)
	}
	return true, nil
}

// readState returns the catalog state of a view. If there is a previous state, it is
// derived from that one and the transfer; otherwise the whole view is read.
func (a *Agent) readState(view registry.View, transfer registry.Transfer) (*catalog.State, error) {
	if a.newest == nil {
		return catalog.Read(view)
	}
	return a.newest.Next(view, transfer)
}

// discardTable replaces the registry replica with an empty table, so that the next
// renewal requests a full transfer. The active state stays active.
func (a *Agent) discardTable() {
	a.table = registry.NewSecondary(catalog.Apex, catalog.Schema())
	a.newest = nil
}

// receivedSerialLocked returns the latest serial received since the replica was last
// discarded, 0 if there is none. The caller holds the mutex.
func (a *Agent) receivedSerialLocked() uint32 {
	if a.newest == nil {
		return 0
	}
	return a.newest.Serial()
}

// activeSerial returns the serial of the active state, or 0 if there is none.
func (a *Agent) activeSerial() uint32 {
	active := a.active.Load()
	if active == nil {
		return 0
	}
	return active.Serial()
}

// applyGrantTransfer applies the transfer of a grant, if it has one. It reports
// whether the serial changed. The caller holds the mutex.
func (a *Agent) applyGrantTransfer(grant *peer.Grant) (bool, error) {
	transfer, err := grant.UnpackTransfer()
	if err != nil || transfer == nil {
		return false, err
	}
	return a.applyTransfer(*transfer)
}
