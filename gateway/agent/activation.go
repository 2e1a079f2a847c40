package agent

import (
	"context"
	"errors"

	"github.com/deckpulley/deckpulley/registry"
)

// ErrNotActive is returned if a configuration version did not become active in time.
var ErrNotActive = errors.New("agent: the configuration version did not become active in time")

// activate activates the newest pending state whose serial is at most limit. It
// reports whether the active state changed. The caller holds the mutex.
func (a *Agent) activate(limit uint32) bool {
	index := -1
	for i, candidate := range a.pending {
		if !registry.SerialLess(limit, candidate.Serial()) {
			index = i
		}
	}
	return a.activatePending(index)
}

// activatePending activates the pending state at an index unless it is not newer than
// the active one, and removes that state and all older ones from the pending states. A
// negative index activates nothing. It reports whether the active state changed. The
// caller holds the mutex.
func (a *Agent) activatePending(index int) bool {
	if index < 0 {
		return false
	}
	state := a.pending[index]
	a.pending = append(a.pending[:0:0], a.pending[index+1:]...)
	active := a.active.Load()
	if active != nil && !registry.SerialLess(active.Serial(), state.Serial()) {
		return false
	}
	if a.options.OnActivate != nil {
		a.options.OnActivate(state)
	}
	a.active.Store(state)
	close(a.activated)
	a.activated = make(chan struct{})
	a.logger.Debug("registry serial activated", "serial", state.Serial(), "version", state.Version())
	return true
}

// ConfirmVersion records that a model replica has reported a configuration version.
// That version must already be active at some gateway, so a pending state with this
// version is activated here without waiting for the primary. ConfirmVersion reports
// whether the active version is now at least the given one; if not, it triggers a
// renewal.
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

// AwaitVersion waits until the given configuration version or a later one is active.
// It returns ErrNotActive if the context ends first.
func (a *Agent) AwaitVersion(ctx context.Context, version uint64) error {
	for {
		a.mutex.Lock()
		changed := a.activated
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

// Activated returns a channel that is closed at the next activation.
func (a *Agent) Activated() <-chan struct{} {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.activated
}
