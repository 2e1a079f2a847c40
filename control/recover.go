package control

import (
	"errors"
	"fmt"
	"log/slog"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/storage"
)

// recoveredVersionStep is added to the configuration version by a forced
// recovery. Replicas may have seen versions that are lost; a version below one
// that a replica has seen would be refused by it.
const recoveredVersionStep = 1000

// RecoverOptions sets up a forced recovery.
type RecoverOptions struct {
	// Name, Zone and PeerAddress are those of the one member that remains.
	Name        string
	Zone        string
	PeerAddress string
	// Store is the surviving copy; no node may be using it.
	Store  storage.Store
	Logger *slog.Logger
}

// Recovered says what a forced recovery has kept.
type Recovered struct {
	// OldCluster and Cluster are the ids of the lost group and of the new one.
	OldCluster string
	Cluster    string
	// Index is the newest entry of the log that was kept, committed or not.
	Index  uint64
	Serial uint32
	// Version is the configuration version before the step, NewVersion after it.
	Version    uint64
	NewVersion uint64
}

// ErrNothingToRecover means that the disk belongs to no group or holds no state.
var ErrNothingToRecover = errors.New("control: the disk holds no group's state")

// Recover makes a group of one from a surviving copy, for when most disks are
// lost for good. Whatever was acknowledged and is not in this copy is lost. The
// group gets a new id, so that members of the old one that come back are kept
// out, and gateways must be restarted to follow it.
func Recover(options RecoverOptions) (Recovered, error) {
	loaded, err := options.Store.Load()
	if err != nil {
		return Recovered{}, fmt.Errorf("control: reading the disk: %w", err)
	}
	if loaded.Cluster == "" || loaded.Snapshot.Index == 0 {
		return Recovered{}, ErrNothingToRecover
	}
	options.Logger.Warn("FORCED RECOVERY: what is not in this copy is lost", "cluster", loaded.Cluster, "identity", string(loaded.Identity))
	survivor, err := replay(loaded)
	if err != nil {
		return Recovered{}, err
	}
	recovered := Recovered{OldCluster: loaded.Cluster, Cluster: randomID(), Index: survivor.index}
	if err := survivor.stepVersion(options.Name, &recovered); err != nil {
		return Recovered{}, err
	}
	if err := survivor.store(options, loaded, recovered); err != nil {
		return Recovered{}, err
	}
	options.Logger.Warn("FORCED RECOVERY done: start this node, then restart every gateway, then add control nodes with empty disks",
		"cluster", recovered.Cluster, "index", recovered.Index, "serial", recovered.Serial,
		"version_before", recovered.Version, "version", recovered.NewVersion)
	return recovered, nil
}

// survivor is the state machine as the whole log of one copy leads to it.
type survivor struct {
	table  *registry.Table
	orders orderBook
	voters int
	// index and lastTerm are those of the newest entry; term is the newest known.
	index    uint64
	lastTerm uint64
	term     uint64
}

// replay applies everything in the log, committed or not: what this copy holds
// may have been acknowledged.
func replay(loaded storage.State) (*survivor, error) {
	content, err := decodeSnapshot(loaded.Snapshot.Data)
	if err != nil {
		return nil, err
	}
	table, err := registry.Restore(catalog.Schema(), content.Table)
	if err != nil {
		return nil, fmt.Errorf("control: restoring snapshot %d: %w", loaded.Snapshot.Index, err)
	}
	s := &survivor{
		table:    table,
		voters:   content.Voters,
		index:    loaded.Snapshot.Index,
		lastTerm: loaded.Snapshot.Term,
		term:     max(loaded.HardState.Term, loaded.Snapshot.Term),
	}
	s.orders.restore(content.Orders)
	for _, entry := range loaded.Entries {
		if entry.Index <= s.index {
			continue
		}
		if err := s.apply(entry); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *survivor) apply(entry consensus.Entry) error {
	s.index = entry.Index
	s.lastTerm = entry.Term
	s.term = max(s.term, entry.Term)
	if entry.Kind != consensus.EntryNormal {
		return nil
	}
	update, err := registry.DecodeUpdate(entry.Data)
	if err != nil {
		return fmt.Errorf("control: entry %d: %w", entry.Index, err)
	}
	s.orders.follow(&update, s.table.Apply(&update, permit))
	return nil
}

// stepVersion raises the configuration version past what replicas may have seen.
func (s *survivor) stepVersion(name string, recovered *Recovered) error {
	contents, err := catalog.Read(s.table.View())
	if err != nil {
		return fmt.Errorf("control: reading the table: %w", err)
	}
	marker, configured := contents.ConfigurationHeader()
	recovered.Version = marker.Version
	if configured {
		marker.Version += recoveredVersionStep
		record := registry.Add(catalog.ConfigurationRecord(marker))
		update := registry.NewUpdate(catalog.Apex, nil, []registry.Record{record})
		update.Requestor = requestorOperator + "recover:" + name
		if result := s.table.Apply(&update, permit); result.Code != registry.NoError {
			return fmt.Errorf("control: raising the version answered %s: %w", result.Code, errors.Join(result.Reason))
		}
	}
	recovered.NewVersion = marker.Version
	recovered.Serial = s.table.Serial()
	return nil
}

// store writes the state as the first of a group of one. Each write alone leaves
// a disk on which the recovery can be run again.
func (s *survivor) store(options RecoverOptions, loaded storage.State, recovered Recovered) error {
	table, err := s.table.Snapshot()
	if err != nil {
		return fmt.Errorf("control: encoding the table: %w", err)
	}
	data, err := encodeSnapshot(snapshotContent{Cluster: recovered.Cluster, Table: table, Orders: s.orders.entries(), Voters: s.voters})
	if err != nil {
		return err
	}
	self := consensus.Member{ID: loaded.Identity, Name: options.Name, Address: options.PeerAddress, Zone: options.Zone}
	snapshot := consensus.Snapshot{
		Index:      s.index,
		Term:       s.lastTerm,
		Membership: consensus.Membership{Members: []consensus.Member{self}},
		Data:       data,
	}
	if err := options.Store.SaveSnapshot(snapshot, snapshot.Index); err != nil {
		return fmt.Errorf("control: writing the snapshot: %w", err)
	}
	state := consensus.HardState{Term: s.term + 1, Commit: snapshot.Index}
	if err := options.Store.Save(&state, nil); err != nil {
		return fmt.Errorf("control: writing the state: %w", err)
	}
	if err := options.Store.SetCluster(recovered.Cluster); err != nil {
		return fmt.Errorf("control: recording the group: %w", err)
	}
	return nil
}
