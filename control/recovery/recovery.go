// Package recovery implements forced recovery: it makes a new group with one member from a
// surviving disk, after a majority of the control nodes have permanently lost theirs.
package recovery

import (
	"errors"
	"fmt"
	"log/slog"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/identity"
	"github.com/deckpulley/deckpulley/control/permission"
	"github.com/deckpulley/deckpulley/control/statemachine"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/storage"
)

// VersionStep is added to the configuration version by a recovery. Model replicas may have
// seen versions that are lost, and refuse a version lower than one that they have seen.
const VersionStep = 1000

// Options configures a recovery. All fields are required.
type Options struct {
	// Name, Zone and PeerAddress describe the only member of the new group.
	Name        string
	Zone        string
	PeerAddress string
	// Store is the surviving disk. No running node may use it.
	Store  storage.Store
	Logger *slog.Logger
}

// Result describes the recovered state.
type Result struct {
	// OldCluster and Cluster are the ids of the lost group and of the new one.
	OldCluster string
	Cluster    string
	// Index is the index of the newest recovered log entry, committed or not.
	Index uint64
	// Serial is the serial of the recovered table.
	Serial uint32
	// Version is the recovered configuration version, and NewVersion that version
	// after VersionStep was added.
	Version    uint64
	NewVersion uint64
}

// ErrNothingToRecover means that the disk belongs to no group or has no state.
var ErrNothingToRecover = errors.New("control: the disk contains no state of a group")

// Run makes a new group with one member from a surviving disk. Acknowledged state that is
// not on this disk is lost. The group gets a new id, so that returning members of the old
// group cannot take part in it, and so gateways must be restarted to accept it.
func Run(options Options) (Result, error) {
	loaded, err := options.Store.Load()
	if err != nil {
		return Result{}, fmt.Errorf("control: reading the disk: %w", err)
	}
	if loaded.Cluster == "" || loaded.Snapshot.Index == 0 {
		return Result{}, ErrNothingToRecover
	}
	options.Logger.Warn("forced recovery started: state that is not on this disk is lost", "cluster", loaded.Cluster, "identity", string(loaded.Identity))
	recovered, err := replay(loaded)
	if err != nil {
		return Result{}, err
	}
	result := Result{OldCluster: loaded.Cluster, Cluster: identity.New(), Index: recovered.index}
	if err := recovered.stepVersion(options.Name, &result); err != nil {
		return Result{}, err
	}
	if err := recovered.save(options, loaded, result); err != nil {
		return Result{}, err
	}
	options.Logger.Warn("forced recovery finished: start this node, then restart every gateway, then add control nodes with empty disks",
		"cluster", result.Cluster, "index", result.Index, "serial", result.Serial,
		"version_before", result.Version, "version", result.NewVersion)
	return result, nil
}

// replayedLog is the state after the complete log of one disk was applied.
type replayedLog struct {
	state *statemachine.State
	// index and lastTerm are the index and term of the newest entry; term is the newest
	// term that the disk knows.
	index    uint64
	lastTerm uint64
	term     uint64
}

// replay applies every entry of the log, whether known to be committed or not: any of them
// may have been acknowledged.
func replay(loaded storage.State) (*replayedLog, error) {
	snapshot, err := statemachine.Decode(loaded.Snapshot.Data)
	if err != nil {
		return nil, err
	}
	state, err := statemachine.Restore(snapshot)
	if err != nil {
		return nil, fmt.Errorf("control: restoring snapshot %d: %w", loaded.Snapshot.Index, err)
	}
	replayed := &replayedLog{
		state:    state,
		index:    loaded.Snapshot.Index,
		lastTerm: loaded.Snapshot.Term,
		term:     max(loaded.HardState.Term, loaded.Snapshot.Term),
	}
	for _, entry := range loaded.Entries {
		if entry.Index <= replayed.index {
			continue
		}
		if err := replayed.apply(entry); err != nil {
			return nil, err
		}
	}
	return replayed, nil
}

func (r *replayedLog) apply(entry consensus.Entry) error {
	r.index = entry.Index
	r.lastTerm = entry.Term
	r.term = max(r.term, entry.Term)
	if entry.Kind != consensus.EntryNormal {
		return nil
	}
	update, err := registry.DecodeUpdate(entry.Data)
	if err != nil {
		return fmt.Errorf("control: decoding log entry %d: %w", entry.Index, err)
	}
	r.state.Apply(&update)
	return nil
}

// stepVersion adds VersionStep to the configuration version, if there is a configuration.
func (r *replayedLog) stepVersion(name string, result *Result) error {
	contents, err := catalog.Read(r.state.Table.View())
	if err != nil {
		return fmt.Errorf("control: reading the table: %w", err)
	}
	header, configured := contents.ConfigurationHeader()
	result.Version = header.Version
	if configured {
		header.Version += VersionStep
		record := registry.Add(catalog.ConfigurationRecord(header))
		update := registry.NewUpdate(catalog.Apex, nil, []registry.Record{record})
		update.Requestor = permission.Operator("recover:" + name)
		if applied := r.state.Apply(&update); applied.Code != registry.NoError {
			return fmt.Errorf("control: raising the configuration version was refused with code %s: %w", applied.Code, errors.Join(applied.Reason))
		}
	}
	result.NewVersion = header.Version
	result.Serial = r.state.Table.Serial()
	return nil
}

// save writes the state to the disk as the first state of the new group. After a crash
// between any two writes, the recovery can be run again.
func (r *replayedLog) save(options Options, loaded storage.State, result Result) error {
	data, err := r.state.Encode(result.Cluster)
	if err != nil {
		return err
	}
	self := consensus.Member{ID: loaded.Identity, Name: options.Name, Address: options.PeerAddress, Zone: options.Zone}
	snapshot := consensus.Snapshot{
		Index:      r.index,
		Term:       r.lastTerm,
		Membership: consensus.Membership{Members: []consensus.Member{self}},
		Data:       data,
	}
	if err := options.Store.SaveSnapshot(snapshot, snapshot.Index); err != nil {
		return fmt.Errorf("control: writing the snapshot: %w", err)
	}
	state := consensus.HardState{Term: r.term + 1, Commit: snapshot.Index}
	if err := options.Store.Save(&state, nil); err != nil {
		return fmt.Errorf("control: writing the state: %w", err)
	}
	if err := options.Store.SetCluster(result.Cluster); err != nil {
		return fmt.Errorf("control: recording the group: %w", err)
	}
	return nil
}
