package engine

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/eventqueue"
	"github.com/deckpulley/deckpulley/peer"
)

// EnterGroup makes this node belong to a group, if it has none. A node that joins
// has no snapshot yet: the leader sends one.
func (e *Engine) EnterGroup(ctx context.Context, cluster string, snapshot consensus.Snapshot) (bool, error) {
	return eventqueue.Ask(ctx, e.queue, func(now time.Duration) bool {
		return e.machine.driver.EnterGroup(now, cluster, snapshot)
	})
}

// AcceptBootstrap makes this node a voter of a new group, if it has none and is in
// the first membership. If this node has promised its vote to an identity, that must
// be in the membership too.
func (e *Engine) AcceptBootstrap(ctx context.Context, request peer.Bootstrap, promised consensus.ID) (bool, error) {
	return eventqueue.Ask(ctx, e.queue, func(now time.Duration) bool {
		return e.machine.driver.AcceptBootstrap(now, request, promised)
	})
}

// BootstrapState returns the state of the group at its bootstrap. The snapshot's index
// is 0 if there is none any more.
func (e *Engine) BootstrapState(ctx context.Context) (peer.Bootstrap, error) {
	return eventqueue.Ask(ctx, e.queue, func(time.Duration) peer.Bootstrap { return e.machine.driver.BootstrapState() })
}

// LearnAddresses keeps where members are that the replicated log here may not know
// yet, so that this node can answer them. It waits only until the event loop has them.
func (e *Engine) LearnAddresses(ctx context.Context, members []consensus.Member) {
	e.queue.Post(ctx, func(time.Duration) { e.machine.driver.LearnAddresses(members) })
}
