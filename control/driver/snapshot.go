package driver

import (
	"fmt"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/statemachine"
)

// retainedEntries is the number of entries before a snapshot that are retained in the
// log, so that a member that is slightly behind is sent entries instead of a snapshot.
const retainedEntries = 1024

// retainedBytesDivisor divides Config.SnapshotBytes into the bytes of those entries.
const retainedBytesDivisor = 2

// restore replaces the state by that of a snapshot.
func (d *Driver) restore(snapshot consensus.Snapshot) error {
	content, err := statemachine.Decode(snapshot.Data)
	if err != nil {
		return err
	}
	if content.Cluster != d.cluster {
		return fmt.Errorf("control: snapshot %d belongs to group %s, this node to %s", snapshot.Index, content.Cluster, d.cluster)
	}
	state, err := statemachine.Restore(content)
	if err != nil {
		return fmt.Errorf("control: restoring snapshot %d: %w", snapshot.Index, err)
	}
	state.Voters = max(state.Voters, d.config.Voters)
	d.state = state
	d.catalog = nil
	d.applied = snapshot.Index
	d.snapshotIndex = snapshot.Index
	d.bytesSinceSnapshot = 0
	return d.updateCatalog()
}

// install restores a snapshot that the leader sent and that persist has stored.
func (d *Driver) install(snapshot consensus.Snapshot) error {
	d.log.Info("snapshot installed", "index", snapshot.Index, "term", snapshot.Term)
	d.FailWaiters(ErrLeadershipLost)
	return d.restore(snapshot)
}

// snapshotDue reports whether SnapshotInterval entries, or entries of SnapshotBytes bytes,
// have been applied since the last snapshot.
func (d *Driver) snapshotDue() bool {
	if d.state == nil || d.applied <= d.snapshotIndex {
		return false
	}
	return d.applied >= d.snapshotIndex+d.config.SnapshotInterval || d.bytesSinceSnapshot >= d.config.SnapshotBytes
}

// compact stores a snapshot and compacts the log if a snapshot is due.
func (d *Driver) compact() error {
	if !d.snapshotDue() {
		return nil
	}
	data, err := d.state.Encode(d.cluster)
	if err != nil {
		return err
	}
	retained := d.node.RetainableEntries(d.applied, retainedEntries, d.config.SnapshotBytes/retainedBytesDivisor)
	snapshot, err := d.node.Compact(d.applied, data, retained)
	if err != nil {
		return fmt.Errorf("control: compacting the log: %w", err)
	}
	if err := d.config.Store.SaveSnapshot(snapshot, consensus.FirstRetainedIndex(snapshot, retained)); err != nil {
		return fmt.Errorf("control: writing a snapshot: %w", err)
	}
	d.snapshotIndex = snapshot.Index
	d.bytesSinceSnapshot = 0
	d.config.Metrics.Snapshots.Inc()
	d.log.Info("snapshot written", "index", snapshot.Index, "term", snapshot.Term, "bytes", len(data))
	return nil
}
