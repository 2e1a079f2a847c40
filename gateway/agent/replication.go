package agent

import (
	"fmt"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
)

// maxPending bounds the states that wait for activation.
const maxPending = 64

// applyTransfer applies a transfer to the table. It reports whether the serial has
// changed. After an error the next renewal requests a full transfer.
func (a *Agent) applyTransfer(transfer registry.Transfer) (bool, error) {
	before := a.table.Serial()
	if err := a.table.ApplyTransfer(transfer); err != nil {
		a.discardCopy()
		return false, fmt.Errorf("agent: applying a transfer: %w", err)
	}
	view := a.table.View()
	if view.Serial() == before {
		return false, nil
	}
	state, err := a.readState(view, transfer)
	if err != nil {
		a.discardCopy()
		return false, fmt.Errorf("agent: reading serial %d: %w", view.Serial(), err)
	}
	a.newest = state
	a.pending = append(a.pending, state)
	if len(a.pending) > maxPending {
		// The oldest and the newest matter most, so that one between them is dropped.
		middle := len(a.pending) / 2
		a.pending = append(a.pending[:middle], a.pending[middle+1:]...)
	}
	return true, nil
}

// readState reads the state of a view, starting from the previous state if there
// is one.
func (a *Agent) readState(view registry.View, transfer registry.Transfer) (*catalog.State, error) {
	if a.newest == nil {
		return catalog.Read(view)
	}
	return a.newest.Next(view, transfer)
}

// discardCopy makes the next renewal request a full transfer. The active state
// stays active.
func (a *Agent) discardCopy() {
	a.table = registry.NewSecondary(catalog.Apex, catalog.Schema())
	a.newest = nil
}

// receivedSerialLocked returns the highest serial received, 0 if none. The caller
// holds the mutex.
func (a *Agent) receivedSerialLocked() uint32 {
	if a.newest == nil {
		return 0
	}
	return a.newest.Serial()
}

// applyGrantTransfer applies the transfer of a grant, if it has one.
func (a *Agent) applyGrantTransfer(grant *peer.Grant) (bool, error) {
	transfer, err := grant.UnpackTransfer()
	if err != nil || transfer == nil {
		return false, err
	}
	return a.applyTransfer(*transfer)
}
