package driver

import (
	"errors"
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/registry"
)

var (
	// ErrNotPrimary means that this node does not lead, or not yet: the update
	// was not proposed.
	ErrNotPrimary = errors.New("control: this node is not the primary")
	// ErrLeadershipLost means that this node does not know whether the update was
	// committed.
	ErrLeadershipLost = errors.New("control: leadership was lost before the update was committed")
)

// waiter gets the result of the entry at its index, if that entry still has its
// term; done runs once, on the event loop.
type waiter struct {
	term uint64
	done func(result registry.Result, err error)
}

// Propose appends an update to the log of the leader. done runs once, on the event
// loop: at once if the update was not proposed.
func (d *Driver) Propose(now time.Duration, update registry.Update, done func(registry.Result, error)) {
	data, err := registry.EncodeUpdate(&update)
	if err != nil {
		done(registry.Result{Code: registry.FormErr, Serial: d.state.Table.Serial(), FailedIndex: -1}, nil)
		return
	}
	index, term, err := d.group.Propose(now, data)
	if err != nil {
		done(registry.Result{}, fmt.Errorf("%w: %w", ErrNotPrimary, err))
		return
	}
	d.waiters[index] = waiter{term: term, done: done}
}

// answerWaiter passes the result of an applied entry to who waits for it.
func (d *Driver) answerWaiter(entry consensus.Entry, result registry.Result) {
	waiting, found := d.waiters[entry.Index]
	if !found {
		return
	}
	delete(d.waiters, entry.Index)
	if waiting.term != entry.Term {
		waiting.done(registry.Result{}, ErrLeadershipLost)
		return
	}
	waiting.done(result, nil)
}

// FailWaiters answers everybody who waits for an update: what becomes of it is not
// known here.
func (d *Driver) FailWaiters(reason error) {
	for index, waiting := range d.waiters {
		delete(d.waiters, index)
		waiting.done(registry.Result{}, reason)
	}
}
