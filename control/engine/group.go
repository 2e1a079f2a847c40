package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/eventqueue"
	"github.com/deckpulley/deckpulley/control/membership"
	"github.com/deckpulley/deckpulley/control/statemachine"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/storage"
)

// EnterGroup makes this node belong to a group, if it has none. A node that joins
// has no snapshot yet: the leader sends one.
func (e *Engine) EnterGroup(ctx context.Context, cluster string, snapshot consensus.Snapshot) (bool, error) {
	return eventqueue.Ask(ctx, e.queue, func(now time.Duration) bool {
		return e.machine.cluster == "" && e.machine.enterGroup(now, cluster, snapshot)
	})
}

// AcceptBootstrap makes this node a voter of a new group, if it has none and is in
// the first membership. If this node has promised its vote to an identity, that must
// be in the membership too.
func (e *Engine) AcceptBootstrap(ctx context.Context, form peer.Bootstrap, promised consensus.ID) (bool, error) {
	return eventqueue.Ask(ctx, e.queue, func(now time.Duration) bool {
		return e.machine.acceptBootstrap(now, form, promised)
	})
}

func (m *machine) acceptBootstrap(now time.Duration, form peer.Bootstrap, promised consensus.ID) bool {
	if m.cluster != "" {
		return m.cluster == form.Cluster
	}
	self, included := membership.Find(form.Snapshot.Membership, m.identity)
	if !included || self.Learner {
		return false
	}
	if _, kept := membership.Find(form.Snapshot.Membership, promised); promised != consensus.None && !kept {
		return false
	}
	return m.enterGroup(now, form.Cluster, form.Snapshot)
}

// enterGroup records a group on the disk: its snapshot first, since that names the
// group too, so that a crash between the writes is completed at the next start.
func (m *machine) enterGroup(now time.Duration, cluster string, snapshot consensus.Snapshot) bool {
	if snapshot.Index > 0 {
		if content, err := statemachine.Decode(snapshot.Data); err != nil || content.Cluster != cluster {
			return false
		}
		if err := m.store.SaveSnapshot(snapshot, snapshot.Index+1); err != nil {
			m.failure = fmt.Errorf("control: writing the first snapshot: %w", err)
			return false
		}
	}
	if err := m.store.SetCluster(cluster); err != nil {
		m.failure = fmt.Errorf("control: recording the group: %w", err)
		return false
	}
	m.cluster = cluster
	if err := m.open(storage.State{Identity: m.identity, Cluster: cluster, Snapshot: snapshot}, now); err != nil {
		m.failure = err
		return false
	}
	m.log.Info("group entered", "cluster", cluster, "identity", string(m.identity), "snapshot", snapshot.Index)
	return true
}

// completeGroupEntry completes an enterGroup that a crash cut between its two
// writes: the snapshot is on disk and names the group, the group's own mark is not.
func (m *machine) completeGroupEntry(snapshot consensus.Snapshot) error {
	if m.cluster != "" || snapshot.Index == 0 {
		return nil
	}
	content, err := statemachine.Decode(snapshot.Data)
	if err != nil {
		return err
	}
	if err := m.store.SetCluster(content.Cluster); err != nil {
		return fmt.Errorf("control: recording the group: %w", err)
	}
	m.cluster = content.Cluster
	return nil
}

// BootstrapState returns the state of the group at its bootstrap. After the first
// change there is none, and the snapshot's index is 0: the group had a majority by
// then, and its leader brings a member up to date.
func (e *Engine) BootstrapState(ctx context.Context) (peer.Bootstrap, error) {
	return eventqueue.Ask(ctx, e.queue, func(time.Duration) peer.Bootstrap { return e.machine.bootstrapState() })
}

func (m *machine) bootstrapState() peer.Bootstrap {
	if m.state == nil || m.applied != 1 {
		return peer.Bootstrap{}
	}
	data, err := m.state.Encode(m.cluster)
	if err != nil {
		return peer.Bootstrap{}
	}
	current := m.group.Status().Membership
	return peer.Bootstrap{
		Cluster:  m.cluster,
		Snapshot: consensus.Snapshot{Index: 1, Term: 1, Membership: current, Data: data},
	}
}

// LearnAddresses keeps where members are that the replicated log here may not know
// yet, so that this node can answer them. It waits only until the event loop has them.
func (e *Engine) LearnAddresses(ctx context.Context, members []consensus.Member) {
	e.queue.Post(ctx, func(time.Duration) {
		for _, member := range members {
			if member.ID != consensus.None {
				e.machine.addresses[member.ID] = member.Address
			}
		}
	})
}
