package control

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/registry"
)

// observation is what the event loop shows to everybody else: one immutable
// reading after a batch of events.
type observation struct {
	at       time.Duration
	identity consensus.ID
	cluster  string
	status   consensus.Status
	// view and contents are the applied table; contents is nil before there is one.
	view     registry.View
	contents *catalog.State
	serial   uint32
	applied  uint64
	// primary is true while this node leads and holds everything that was
	// committed before it was elected.
	primary bool
	// contact is the send time of the newest heartbeat round that a majority answered.
	contact      time.Duration
	contactKnown bool
	inForce      uint32
	inForceKnown bool

	// superseded is closed when a newer observation was published.
	superseded chan struct{}
}

// publish replaces the observation and wakes those who wait for a change.
func (n *Node) publish() {
	previous := n.observed.Load()
	n.observed.Store(n.machine.observe(n.clock(), previous))
	close(previous.superseded)
	n.metrics.observe(n.observed.Load())
}

// observe returns the newest observation.
func (n *Node) observe() *observation { return n.observed.Load() }

// waitUntil waits for an observation that satisfies the condition. It returns
// false when ctx or the node ended first.
func (n *Node) waitUntil(ctx context.Context, condition func(*observation) bool) bool {
	for {
		current := n.observe()
		if condition(current) {
			return true
		}
		select {
		case <-current.superseded:
		case <-ctx.Done():
			return false
		case <-n.done:
			return false
		}
	}
}

// member finds a member by its identity.
func (o *observation) member(id consensus.ID) (consensus.Member, bool) {
	return findMember(o.status.Membership, id)
}

// voter is true if this node votes in the group, as far as it knows.
func (o *observation) voter() bool {
	member, found := o.member(o.identity)
	return found && !member.Learner
}

// leaderAddress is the peers' address of the leader, empty if unknown.
func (o *observation) leaderAddress() string {
	member, found := o.member(o.status.Leader)
	if !found {
		return ""
	}
	return member.Address
}

func findMember(membership consensus.Membership, id consensus.ID) (consensus.Member, bool) {
	for _, member := range membership.Members {
		if member.ID == id {
			return member, true
		}
	}
	return consensus.Member{}, false
}
