package driver

import (
	"errors"
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/registry"
)

var (
	// ErrNotPrimary means that the update was not proposed, since this node does not
	// lead or does not serve as the primary yet.
	ErrNotPrimary = errors.New("control: this node is not the primary")
	// ErrLeadershipLost means that this node lost leadership and does not know
	// whether the update was or will be committed.
	ErrLeadershipLost = errors.New("control: leadership was lost before the update was committed")
)

// waiter is a proposal that waits for its entry to be applied. done runs once, on the
// event loop, with an error if another term's entry is applied at the proposal's index.
type waiter struct {
	term uint64
	done func(result registry.Result, err error)
}

// Propose appends an update to the log if this node leads. done runs once, on the event
// loop: immediately if the update was not proposed, otherwise when its outcome is known.
func (d *Driver) Propose(now time.Duration, update registry.Update, done func(registry.Result, error)) {
	data, err := registry.EncodeUpdate(&update)
	if err != nil {
		done(registry.Result{Code: registry.FormErr, Serial: d.state.Table.Serial(), FailedIndex: -1}, nil)
		return
	}
	index, term, err := d.node.Propose(now, data)
	if err != nil {
		done(registry.Result{}, fmt.Errorf("%w: %w", ErrNotPrimary, err))
		return
	}
	d.waiters[index] = waiter{term: term, done: done}
}

// answerWaiter passes the result of an applied entry to the proposal that waits for it.
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

// FailWaiters fails all waiting proposals with an error. Their updates may still be
// committed.
func (d *Driver) FailWaiters(reason error) {
	for index, waiting := range d.waiters {
		delete(d.waiters, index)
		waiting.done(registry.Result{}, reason)
	}
}
