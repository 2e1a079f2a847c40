package engine

import (
	"context"
	"errors"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/eventqueue"
	"github.com/deckpulley/deckpulley/peer"
)

// EnterGroup makes this node a part of a group, unless it belongs to one already, and
// reports whether it did. A node that joins an existing group passes an empty snapshot:
// the leader sends it one later.
func (e *Engine) EnterGroup(ctx context.Context, cluster string, snapshot consensus.Snapshot) (bool, error) {
	return eventqueue.Ask(ctx, e.queue, func(now time.Duration) bool {
		return e.machine.driver.EnterGroup(now, cluster, snapshot)
	})
}

// AcceptBootstrap makes this node a voter of a new group, if it belongs to no group and
// is a voter in the first membership. If this node waits for a coordinator to bootstrap
// the group (coordinator is not consensus.None), the membership must contain that too.
// It reports whether this node now belongs to the new group.
func (e *Engine) AcceptBootstrap(ctx context.Context, request peer.Bootstrap, coordinator consensus.ID) (bool, error) {
	return eventqueue.Ask(ctx, e.queue, func(now time.Duration) bool {
		return e.machine.driver.AcceptBootstrap(now, request, coordinator)
	})
}

// BootstrapState returns the state of the group as bootstrapped. The snapshot's index is
// 0 if the state has changed since.
func (e *Engine) BootstrapState(ctx context.Context) (peer.Bootstrap, error) {
	return eventqueue.Ask(ctx, e.queue, func(time.Duration) peer.Bootstrap { return e.machine.driver.BootstrapState() })
}

// RecordAddresses records the addresses of members that may not be in this node's log yet,
// so that this node can reply to them. It returns once the request is queued for the event
// loop.
func (e *Engine) RecordAddresses(ctx context.Context, members []consensus.Member) {
	e.queue.Post(ctx, func(time.Duration) { e.machine.driver.RecordAddresses(members) })
}

// TakeOver makes this node the leader of a group of which it is the only voter. The caller
// must have the votes of a majority of the witnesses in the epoch.
func (e *Engine) TakeOver(ctx context.Context, epoch uint64) error {
	failure, err := eventqueue.Ask(ctx, e.queue, func(now time.Duration) error {
		return e.machine.takeOver(now, epoch)
	})
	return errors.Join(err, failure)
}

func (m *machine) takeOver(now time.Duration, epoch uint64) error {
	if m.driver.Consensus() == nil {
		return consensus.ErrCannotTakeOver
	}
	if err := m.driver.Consensus().TakeOver(now, epoch); err != nil {
		return err
	}
	m.updateLeadership(now)
	return nil
}
