package driver

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/membership"
	"github.com/deckpulley/deckpulley/control/statemachine"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/storage"
)

// AcceptBootstrap makes this node a voter of a new group, if it belongs to no group and is
// a voter in the first membership. If this node waits for a coordinator to bootstrap the
// group (coordinator is not consensus.None), the membership must contain that too. It
// reports whether this node now belongs to the new group.
func (d *Driver) AcceptBootstrap(now time.Duration, request peer.Bootstrap, coordinator consensus.ID) bool {
	if d.cluster != "" {
		return d.cluster == request.Cluster
	}
	self, included := membership.Find(request.Snapshot.Membership, d.identity)
	if !included || self.Learner {
		return false
	}
	if _, listed := membership.Find(request.Snapshot.Membership, coordinator); coordinator != consensus.None && !listed {
		return false
	}
	return d.EnterGroup(now, request.Cluster, request.Snapshot)
}

// EnterGroup makes this node a part of a group. It returns false if the node already
// belongs to one, if the snapshot is of another group, or if a write failed. A node that
// joins an existing group passes an empty snapshot: the leader sends it one later.
//
// The snapshot, which contains the group's id, is written before the id itself, so that
// completeGroupEntry can finish after a crash between the two writes.
func (d *Driver) EnterGroup(now time.Duration, cluster string, snapshot consensus.Snapshot) bool {
	if d.cluster != "" || d.suspended {
		return false
	}
	if snapshot.Index > 0 {
		if content, err := statemachine.Decode(snapshot.Data); err != nil || content.Cluster != cluster {
			return false
		}
		if err := d.config.Store.SaveSnapshot(snapshot, snapshot.Index+1); err != nil {
			d.failure = fmt.Errorf("control: writing the first snapshot: %w", err)
			return false
		}
	}
	if err := d.config.Store.SetCluster(cluster); err != nil {
		d.failure = fmt.Errorf("control: recording the group: %w", err)
		return false
	}
	d.cluster = cluster
	if err := d.open(storage.State{Identity: d.identity, Cluster: cluster, Snapshot: snapshot}, now); err != nil {
		d.failure = err
		return false
	}
	d.log.Info("group entered", "cluster", cluster, "identity", string(d.identity), "snapshot", snapshot.Index)
	return true
}

// completeGroupEntry completes an EnterGroup that a crash interrupted between its two
// writes: the snapshot is on disk, but the group's id is not.
func (d *Driver) completeGroupEntry(snapshot consensus.Snapshot) error {
	if d.cluster != "" || snapshot.Index == 0 {
		return nil
	}
	content, err := statemachine.Decode(snapshot.Data)
	if err != nil {
		return err
	}
	if err := d.config.Store.SetCluster(content.Cluster); err != nil {
		return fmt.Errorf("control: recording the group: %w", err)
	}
	d.cluster = content.Cluster
	return nil
}

// BootstrapState returns the state of the group as bootstrapped. Once an entry has been
// applied it returns a snapshot with index 0: by then the group has had a majority, so its
// leader brings members up to date.
func (d *Driver) BootstrapState() peer.Bootstrap {
	if d.node == nil || d.state == nil || d.applied != 1 {
		return peer.Bootstrap{}
	}
	data, err := d.state.Encode(d.cluster)
	if err != nil {
		return peer.Bootstrap{}
	}
	current := d.node.Status().Membership
	return peer.Bootstrap{
		Cluster:  d.cluster,
		Snapshot: consensus.Snapshot{Index: 1, Term: 1, Membership: current, Data: data},
	}
}
