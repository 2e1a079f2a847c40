// Package statemachine implements the state that the control group replicates: the
// registry's table, and the serials at which the answers to operations became visible. The
// state depends only on the log, so that it is the same on every member.
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
	// soaRefresh and soaExpire are the refresh and expire times of the SOA record in
	// seconds. No code reads them: gateways refresh their replicas of the table
	// far more often, with every lease renewal.
	soaRefresh = 1
	soaExpire  = 10
)

// State is the replicated state.
type State struct {
	Table      *registry.Table
	Operations OperationLog
	// Voters is the number of voters of a complete group: the number at its bootstrap,
	// or a greater number that was configured since.
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

// Apply applies one update. A refused update changes nothing.
func (s *State) Apply(update *registry.Update) registry.Result {
	result := s.Table.Apply(update, permission.Check)
	s.Operations.record(update, result)
	return result
}

// Encode returns the encoded snapshot of the state of a group.
func (s *State) Encode(cluster string) ([]byte, error) {
	table, err := s.Table.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("control: encoding the table: %w", err)
	}
	return Encode(Snapshot{Cluster: cluster, Table: table, Operations: s.Operations.entries(), Voters: s.Voters})
}

// InitialSnapshot returns the first snapshot of a new group, with an empty table at index 1
// of the log.
func InitialSnapshot(cluster, primary string, members []consensus.Member) (consensus.Snapshot, error) {
	names := make([]string, 0, len(members))
	for _, member := range members {
		names = append(names, member.Name)
	}
	soa := registry.SOA{Primary: primary, Serial: firstSerial, Refresh: soaRefresh, Expire: soaExpire}
	table, err := registry.New(catalog.Apex, catalog.Schema(), soa, names)
	if err != nil {
		return consensus.Snapshot{}, fmt.Errorf("control: creating the first table: %w", err)
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
