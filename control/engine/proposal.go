package engine

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/control/driver"
	"github.com/deckpulley/deckpulley/control/eventqueue"
	"github.com/deckpulley/deckpulley/registry"
)

// proposalResult is the outcome of one proposed update.
type proposalResult struct {
	result registry.Result
	err    error
}

// Propose appends an update to the log and waits until it is applied and this node's
// observation includes it. After an error other than driver.ErrNotPrimary, the update may
// have been applied, or may still be applied later.
func (e *Engine) Propose(ctx context.Context, update registry.Update) (registry.Result, error) {
	reply := make(chan proposalResult, 1)
	posted := e.queue.Post(ctx, func(now time.Duration) {
		e.machine.propose(now, update, func(result registry.Result, err error) {
			reply <- proposalResult{result: result, err: err}
		})
	})
	if !posted {
		return registry.Result{}, driver.ErrNotPrimary
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
