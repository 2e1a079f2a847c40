package control

import (
	"context"
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
	// ErrLeadershipLost means that nobody here knows whether the update was
	// committed.
	ErrLeadershipLost = errors.New("control: leadership was lost before the update was committed")
)

// waiter is told the result of the entry at its index, if that entry still has
// its term; it runs on the loop.
type waiter struct {
	term uint64
	done func(result registry.Result, err error)
}

// outcome is what became of one proposed update.
type outcome struct {
	result registry.Result
	err    error
}

// propose puts an update through the log and waits until it is applied and
// shown by the observation here. An error other than ErrNotPrimary leaves open whether it was.
func (n *Node) propose(ctx context.Context, update registry.Update) (registry.Result, error) {
	reply := make(chan outcome, 1)
	posted := n.post(ctx, func(now time.Duration) {
		n.machine.propose(now, update, func(result registry.Result, err error) {
			reply <- outcome{result: result, err: err}
		})
	})
	if !posted {
		return registry.Result{}, ErrNotPrimary
	}
	select {
	case settled := <-reply:
		if settled.err == nil {
			n.waitUntil(ctx, func(o *observation) bool { return !registry.SerialLess(o.serial, settled.result.Serial) })
		}
		return settled.result, settled.err
	case <-ctx.Done():
		return registry.Result{}, ctx.Err()
	case <-n.done:
		return registry.Result{}, ErrStopped
	}
}

// propose appends an update to the log of a primary. done runs once.
func (m *machine) propose(now time.Duration, update registry.Update, done func(registry.Result, error)) {
	if m.leadership == nil || !m.leadership.ready {
		done(registry.Result{}, ErrNotPrimary)
		return
	}
	data, err := registry.EncodeUpdate(&update)
	if err != nil {
		done(registry.Result{Code: registry.FormErr, Serial: m.table.Serial(), FailedIndex: -1}, nil)
		return
	}
	index, term, err := m.group.Propose(now, data)
	if err != nil {
		done(registry.Result{}, fmt.Errorf("%w: %w", ErrNotPrimary, err))
		return
	}
	m.waiters[index] = waiter{term: term, done: done}
}

// answer tells the waiter of an applied entry.
func (m *machine) answer(entry consensus.Entry, result registry.Result) {
	waiting, found := m.waiters[entry.Index]
	if !found {
		return
	}
	delete(m.waiters, entry.Index)
	if waiting.term != entry.Term {
		waiting.done(registry.Result{}, ErrLeadershipLost)
		return
	}
	waiting.done(result, nil)
}

// loseWaiters tells every waiter that its update's fate is unknown here.
func (m *machine) loseWaiters(reason error) {
	for index, waiting := range m.waiters {
		delete(m.waiters, index)
		waiting.done(registry.Result{}, reason)
	}
}
