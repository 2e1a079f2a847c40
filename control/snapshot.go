package control

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/registry"
)

// snapshotKeep is the number of entries before a snapshot that stay in the
// log, so that a member a little behind is sent entries and no snapshot.
const snapshotKeep = 1024

// snapshotContent is the data of a snapshot: the whole state machine.
type snapshotContent struct {
	// Cluster names the group, so that a snapshot can't be taken for another's.
	Cluster string `cbor:"1,keyasint"`
	Table   []byte `cbor:"2,keyasint"`
	// Orders remembers at which serial each kept order became visible.
	Orders []orderEntry `cbor:"3,keyasint,omitempty"`
	// Voters is the number of voters of the group without loss: that of its formation.
	Voters int `cbor:"4,keyasint"`
}

func encodeSnapshot(content snapshotContent) ([]byte, error) {
	data, err := cbor.Marshal(content)
	if err != nil {
		return nil, fmt.Errorf("control: encoding a snapshot: %w", err)
	}
	return data, nil
}

func decodeSnapshot(data []byte) (snapshotContent, error) {
	var content snapshotContent
	if err := cbor.Unmarshal(data, &content); err != nil {
		return snapshotContent{}, fmt.Errorf("control: decoding a snapshot: %w", err)
	}
	if content.Cluster == "" {
		return snapshotContent{}, errors.New("control: decoding a snapshot: it names no group")
	}
	return content, nil
}

// restore replaces the state machine by a snapshot's.
func (m *machine) restore(snapshot consensus.Snapshot) error {
	content, err := decodeSnapshot(snapshot.Data)
	if err != nil {
		return err
	}
	if content.Cluster != m.cluster {
		return fmt.Errorf("control: snapshot %d belongs to group %s, this node to %s", snapshot.Index, content.Cluster, m.cluster)
	}
	table, err := registry.Restore(catalog.Schema(), content.Table)
	if err != nil {
		return fmt.Errorf("control: restoring snapshot %d: %w", snapshot.Index, err)
	}
	m.table = table
	m.contents = nil
	m.transfers.reset()
	m.orders.restore(content.Orders)
	m.voters = max(content.Voters, m.options.Voters)
	m.applied = snapshot.Index
	m.snapshotIndex = snapshot.Index
	return m.readContents()
}

// install takes a snapshot that the leader sent; persist has stored it.
func (m *machine) install(snapshot consensus.Snapshot) error {
	m.log.Info("snapshot installed", "index", snapshot.Index, "term", snapshot.Term)
	m.loseWaiters(ErrLeadershipLost)
	return m.restore(snapshot)
}

// compact stores a snapshot when enough was applied since the last one.
func (m *machine) compact() error {
	if m.table == nil || m.applied < m.snapshotIndex+m.options.SnapshotInterval {
		return nil
	}
	data, err := m.snapshotData()
	if err != nil {
		return err
	}
	snapshot, err := m.group.Compact(m.applied, data, snapshotKeep)
	if err != nil {
		return fmt.Errorf("control: compacting the log: %w", err)
	}
	if err := m.store.SaveSnapshot(snapshot, consensus.FirstRetainedIndex(snapshot, snapshotKeep)); err != nil {
		return fmt.Errorf("control: writing a snapshot: %w", err)
	}
	m.snapshotIndex = snapshot.Index
	m.metrics.snapshots.Inc()
	m.log.Info("snapshot written", "index", snapshot.Index, "term", snapshot.Term, "bytes", len(data))
	return nil
}

func (m *machine) snapshotData() ([]byte, error) {
	table, err := m.table.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("control: encoding the table: %w", err)
	}
	return encodeSnapshot(snapshotContent{Cluster: m.cluster, Table: table, Orders: m.orders.entries(), Voters: m.voters})
}
