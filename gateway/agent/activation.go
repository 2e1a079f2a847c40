package agent

import (
	"context"
	"errors"

	"github.com/deckpulley/deckpulley/registry"
)

// ErrNotActive is returned if a version did not become active in time.
var ErrNotActive = errors.New("agent: version is not active")

// activate activates the newest pending state up to the serial limit. It reports
// whether there was one. The caller holds the mutex.
func (a *Agent) activate(limit uint32) bool {
	chosen := -1
	for i, candidate := range a.pending {
		if !registry.SerialLess(limit, candidate.Serial()) {
			chosen = i
		}
	}
	return a.activatePending(chosen)
}

// activatePending activates one of the pending states unless it is older than the
// active one, and drops the pending states before it. The caller holds the mutex.
func (a *Agent) activatePending(chosen int) bool {
	if chosen < 0 {
		return false
	}
	state := a.pending[chosen]
	a.pending = append(a.pending[:0:0], a.pending[chosen+1:]...)
	active := a.active.Load()
	if active != nil && !registry.SerialLess(active.Serial(), state.Serial()) {
		return false
	}
	if a.options.OnActivate != nil {
		a.options.OnActivate(state)
	}
	a.active.Store(state)
	close(a.changed)
	a.changed = make(chan struct{})
	a.logger.Debug("registry serial activated", "serial", state.Serial(), "version", state.Version())
	return true
}

// ConfirmVersion records that a replica has seen a configuration version. The
// version has then been active at some gateway, so that a pending state of it may be
// activated here at once. ConfirmVersion reports whether the active version is at
// least that one; if not, it triggers a renewal.
func (a *Agent) ConfirmVersion(version uint64) bool {
	if active := a.active.Load(); active != nil && active.Version() >= version {
		return true
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for i, candidate := range a.pending {
		if candidate.Version() == version {
			a.activatePending(i)
			a.triggerRenewal()
			break
		}
	}
	active := a.active.Load()
	caughtUp := active != nil && active.Version() >= version
	if !caughtUp {
		a.triggerRenewal()
	}
	return caughtUp
}

// AwaitVersion waits until a configuration version or a later one is active. It
// returns ErrNotActive if the context ends first.
func (a *Agent) AwaitVersion(ctx context.Context, version uint64) error {
	for {
		a.mutex.Lock()
		changed := a.changed
		a.mutex.Unlock()
		if a.ConfirmVersion(version) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrNotActive
		case <-changed:
		}
	}
}

// Changed returns a channel that is closed at the next activation.
func (a *Agent) Changed() <-chan struct{} {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.changed
}
