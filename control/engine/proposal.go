package engine

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/eventqueue"
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

// proposalResult is what became of one proposed update.
type proposalResult struct {
	result registry.Result
	err    error
}

// Propose puts an update through the log and waits until it is applied and shown by
// the observation here. After an error other than ErrNotPrimary the update may
// have been applied, or may be later.
func (e *Engine) Propose(ctx context.Context, update registry.Update) (registry.Result, error) {
	reply := make(chan proposalResult, 1)
	posted := e.queue.Post(ctx, func(now time.Duration) {
		e.machine.propose(now, update, func(result registry.Result, err error) {
			reply <- proposalResult{result: result, err: err}
		})
	})
	if !posted {
		return registry.Result{}, ErrNotPrimary
	}
	select {
	case proposed := <-reply:
		if proposed.err == nil {
			e.WaitUntil(ctx, func(o *Observation) bool { return !registry.SerialLess(o.Serial, proposed.result.Serial) })
		}
		return proposed.result, proposed.err
	case <-ctx.Done():
		return registry.Result{}, ctx.Err()
	case <-e.queue.Done():
		return registry.Result{}, eventqueue.ErrStopped
	}
}

// propose appends an update to the log of a primary. done runs once.
func (m *machine) propose(now time.Duration, update registry.Update, done func(registry.Result, error)) {
	if _, serving := m.serving(); !serving {
		done(registry.Result{}, ErrNotPrimary)
		return
	}
	data, err := registry.EncodeUpdate(&update)
	if err != nil {
		done(registry.Result{Code: registry.FormErr, Serial: m.state.Table.Serial(), FailedIndex: -1}, nil)
		return
	}
	index, term, err := m.group.Propose(now, data)
	if err != nil {
		done(registry.Result{}, fmt.Errorf("%w: %w", ErrNotPrimary, err))
		return
	}
	m.waiters[index] = waiter{term: term, done: done}
}

// answerWaiter passes the result of an applied entry to who waits for it.
func (m *machine) answerWaiter(entry consensus.Entry, result registry.Result) {
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

// failWaiters answers everybody who waits: what becomes of their updates is not
// known here.
func (m *machine) failWaiters(reason error) {
	for index, waiting := range m.waiters {
		delete(m.waiters, index)
		waiting.done(registry.Result{}, reason)
	}
}
