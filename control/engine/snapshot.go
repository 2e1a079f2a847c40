package engine

import (
	"fmt"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/statemachine"
)

// retainedEntries is the number of entries before a snapshot that stay in the
// log, so that a member a little behind is sent entries and no snapshot.
const retainedEntries = 1024

// restore replaces the state by a snapshot's.
func (m *machine) restore(snapshot consensus.Snapshot) error {
	content, err := statemachine.Decode(snapshot.Data)
	if err != nil {
		return err
	}
	if content.Cluster != m.cluster {
		return fmt.Errorf("control: snapshot %d belongs to group %s, this node to %s", snapshot.Index, content.Cluster, m.cluster)
	}
	state, err := statemachine.Restore(content)
	if err != nil {
		return fmt.Errorf("control: restoring snapshot %d: %w", snapshot.Index, err)
	}
	state.Voters = max(state.Voters, m.config.Voters)
	m.state = state
	m.catalog = nil
	m.transfers.Reset()
	m.applied = snapshot.Index
	m.snapshotIndex = snapshot.Index
	return m.updateCatalog()
}

// install takes a snapshot that the leader sent; persist has stored it.
func (m *machine) install(snapshot consensus.Snapshot) error {
	m.log.Info("snapshot installed", "index", snapshot.Index, "term", snapshot.Term)
	m.failWaiters(ErrLeadershipLost)
	return m.restore(snapshot)
}

// compact stores a snapshot when enough was applied since the last one.
func (m *machine) compact() error {
	if m.state == nil || m.applied < m.snapshotIndex+m.config.SnapshotInterval {
		return nil
	}
	data, err := m.state.Encode(m.cluster)
	if err != nil {
		return err
	}
	snapshot, err := m.group.Compact(m.applied, data, retainedEntries)
	if err != nil {
		return fmt.Errorf("control: compacting the log: %w", err)
	}
	if err := m.store.SaveSnapshot(snapshot, consensus.FirstRetainedIndex(snapshot, retainedEntries)); err != nil {
		return fmt.Errorf("control: writing a snapshot: %w", err)
	}
	m.snapshotIndex = snapshot.Index
	m.metrics.Snapshots.Inc()
	m.log.Info("snapshot written", "index", snapshot.Index, "term", snapshot.Term, "bytes", len(data))
	return nil
}
