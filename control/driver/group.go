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

// AcceptBootstrap makes this node a voter of a new group, if it has none and is in the
// first membership. If an identity was promised, it must be in the membership too.
func (d *Driver) AcceptBootstrap(now time.Duration, request peer.Bootstrap, promised consensus.ID) bool {
	if d.cluster != "" {
		return d.cluster == request.Cluster
	}
	self, included := membership.Find(request.Snapshot.Membership, d.identity)
	if !included || self.Learner {
		return false
	}
	if _, kept := membership.Find(request.Snapshot.Membership, promised); promised != consensus.None && !kept {
		return false
	}
	return d.EnterGroup(now, request.Cluster, request.Snapshot)
}

// EnterGroup makes this node belong to a group. It returns false if it has one, or if
// the snapshot is not of this group or could not be written. A node that joins has no
// snapshot yet: the leader sends one.
//
// The snapshot is written first, since that names the group too, so that a crash
// between the writes is completed at the next start.
func (d *Driver) EnterGroup(now time.Duration, cluster string, snapshot consensus.Snapshot) bool {
	if d.cluster != "" {
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

// completeGroupEntry completes an EnterGroup that a crash interrupted between its two writes:
// the snapshot is on disk and names the group, the group's own mark is not.
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

// BootstrapState returns the state of the group at its bootstrap. After the first
// change there is none, and the snapshot's index is 0: the group had a majority by
// then, and its leader brings a member up to date.
func (d *Driver) BootstrapState() peer.Bootstrap {
	if d.state == nil || d.applied != 1 {
		return peer.Bootstrap{}
	}
	data, err := d.state.Encode(d.cluster)
	if err != nil {
		return peer.Bootstrap{}
	}
	current := d.group.Status().Membership
	return peer.Bootstrap{
		Cluster:  d.cluster,
		Snapshot: consensus.Snapshot{Index: 1, Term: 1, Membership: current, Data: data},
	}
}
