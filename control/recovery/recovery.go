// Package recovery makes a group of one from a surviving replica, by force, for
// when most control nodes have lost their disks for good.
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

// VersionStep is added to the configuration version by a recovery. Model replicas
// may have seen versions that are lost, and refuse any that is below one they saw.
const VersionStep = 1000

// Options sets up a recovery. All are required.
type Options struct {
	// Name, Zone and PeerAddress are those of the one member that remains.
	Name        string
	Zone        string
	PeerAddress string
	// Store is the surviving disk; no node may be using it.
	Store  storage.Store
	Logger *slog.Logger
}

// Result says what a recovery has kept.
type Result struct {
	// OldCluster and Cluster are the ids of the lost group and of the new one.
	OldCluster string
	Cluster    string
	// Index is that of the newest entry that was kept, committed or not.
	Index uint64
	// Serial is that of the recovered table.
	Serial uint32
	// Version is the configuration version before the step, NewVersion after it.
	Version    uint64
	NewVersion uint64
}

// ErrNothingToRecover means that the disk belongs to no group or has no state.
var ErrNothingToRecover = errors.New("control: the disk holds no group's state")

// Run makes a group of one from a surviving disk. Whatever was acknowledged and is
// not on this disk is lost. The group gets a new id, so that members of the old one
// that come back are kept out, and gateways must be restarted to follow it.
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
	if err := recovered.store(options, loaded, result); err != nil {
		return Result{}, err
	}
	options.Logger.Warn("forced recovery finished: start this node, then restart every gateway, then add control nodes with empty disks",
		"cluster", result.Cluster, "index", result.Index, "serial", result.Serial,
		"version_before", result.Version, "version", result.NewVersion)
	return result, nil
}

// replayedLog is the state that the complete log of one disk leads to.
type replayedLog struct {
	state *statemachine.State
	// index and lastTerm are those of the newest entry; term is the newest known.
	index    uint64
	lastTerm uint64
	term     uint64
}

// replay applies every entry of the log, committed or not: what this disk has may
// have been acknowledged.
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
		return fmt.Errorf("control: entry %d: %w", entry.Index, err)
	}
	r.state.Apply(&update)
	return nil
}

// stepVersion raises the configuration version past what replicas may have seen.
func (r *replayedLog) stepVersion(name string, result *Result) error {
	contents, err := catalog.Read(r.state.Table.View())
	if err != nil {
		return fmt.Errorf("control: reading the table: %w", err)
	}
	marker, configured := contents.ConfigurationHeader()
	result.Version = marker.Version
	if configured {
		marker.Version += VersionStep
		record := registry.Add(catalog.ConfigurationRecord(marker))
		update := registry.NewUpdate(catalog.Apex, nil, []registry.Record{record})
		update.Requestor = permission.Operator("recover:" + name)
		if applied := r.state.Apply(&update); applied.Code != registry.NoError {
			return fmt.Errorf("control: raising the version answered %s: %w", applied.Code, errors.Join(applied.Reason))
		}
	}
	result.NewVersion = marker.Version
	result.Serial = r.state.Table.Serial()
	return nil
}

// store writes the state as the first of a group of one. Each write alone leaves
// a disk on which the recovery can be run again.
func (r *replayedLog) store(options Options, loaded storage.State, result Result) error {
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
