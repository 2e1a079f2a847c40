// Package statemachine is the state that the control group replicates: the
// registry's table, and when the answers to operations became visible. It is a
// function of the log alone, so that every member has the same.
package statemachine

import (
	"fmt"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/permission"
	"github.com/deckpulley/deckpulley/registry"
)

const (
	// firstSerial is the serial of a new group's table.
	firstSerial = 1
	// headRefresh and headExpire are the seconds of the head record. Replicas of
	// the table are renewed far more often, by leases.
	headRefresh = 1
	headExpire  = 10
)

// State is the replicated state.
type State struct {
	Table      *registry.Table
	Operations OperationLog
	// Voters is the number of voters of a complete group: that of its bootstrap,
	// or a greater one that was set since.
	Voters int
}

// Restore returns the state that a snapshot contains.
func Restore(snapshot Snapshot) (*State, error) {
	table, err := registry.Restore(catalog.Schema(), snapshot.Table)
	if err != nil {
		return nil, err
	}
	state := &State{Table: table, Voters: snapshot.Voters}
	state.Operations.restore(snapshot.Operations)
	return state, nil
}

// Apply applies one update. An update that is refused changes nothing.
func (s *State) Apply(update *registry.Update) registry.Result {
	result := s.Table.Apply(update, permission.Check)
	s.Operations.follow(update, result)
	return result
}

// Encode returns the data of a snapshot of the state, for the group that it belongs to.
func (s *State) Encode(cluster string) ([]byte, error) {
	table, err := s.Table.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("control: encoding the table: %w", err)
	}
	return Encode(Snapshot{Cluster: cluster, Table: table, Operations: s.Operations.entries(), Voters: s.Voters})
}

// First returns the snapshot that a new group begins with.
func First(cluster, primary string, members []consensus.Member) (consensus.Snapshot, error) {
	names := make([]string, 0, len(members))
	for _, member := range members {
		names = append(names, member.Name)
	}
	head := registry.SOA{Primary: primary, Serial: firstSerial, Refresh: headRefresh, Expire: headExpire}
	table, err := registry.New(catalog.Apex, catalog.Schema(), head, names)
	if err != nil {
		return consensus.Snapshot{}, fmt.Errorf("control: making the first table: %w", err)
	}
	encoded, err := table.Snapshot()
	if err != nil {
		return consensus.Snapshot{}, fmt.Errorf("control: encoding the first table: %w", err)
	}
	data, err := Encode(Snapshot{Cluster: cluster, Table: encoded, Voters: len(members)})
	if err != nil {
		return consensus.Snapshot{}, err
	}
	return consensus.Snapshot{Index: 1, Term: 1, Membership: consensus.Membership{Members: members}, Data: data}, nil
}
