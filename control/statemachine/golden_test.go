package statemachine

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/internal/golden"
	"github.com/deckpulley/deckpulley/control/permission"
	"github.com/deckpulley/deckpulley/registry"
)

// goldenCluster is the id of the group in the golden files.
const goldenCluster = "fedcba9876543210fedcba98"

func TestGoldenFirstSnapshot(t *testing.T) {
	members := []consensus.Member{
		{ID: "disk-1", Name: "control-1", Address: "10.0.0.1:7141", Zone: "zone-1"},
		{ID: "disk-2", Name: "control-2", Address: "10.0.0.2:7141", Zone: "zone-2"},
		{ID: "disk-3", Name: "control-3", Address: "10.0.0.3:7141", Zone: "zone-3"},
	}
	snapshot, err := InitialSnapshot(goldenCluster, "control-1", members)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "snapshot-first", snapshot.Data)
	if snapshot.Index != 1 || snapshot.Term != 1 {
		t.Errorf("the first snapshot has index %d, term %d; want 1, 1", snapshot.Index, snapshot.Term)
	}
}

// goldenUpdates returns one update of each kind that control nodes append to the log, in
// an order in which all of them are accepted.
func goldenUpdates() []struct {
	name   string
	update registry.Update
} {
	update := func(requestor string, prerequisites, changes []registry.Record) registry.Update {
		made := registry.NewUpdate(catalog.Apex, prerequisites, changes)
		made.Requestor = requestor
		return made
	}
	gateway := catalog.Gateway{
		Incarnation: "89abcdef0123456789abcdef", Zone: "zone-3", Region: "region-2",
		PeerAddress: "10.0.1.1:7141", HTTPAddress: "10.0.1.1:8080", Up: true, MayHoldLease: true, LinkMbps: 100,
	}
	down := gateway
	down.Up = false
	accepted := catalog.OperationResult{Digest: 0x0123456789abcdef, Accepted: true, Version: 0, Sequence: 2}
	refused := catalog.OperationResult{Digest: 0xfedcba9876543210, Version: 0, Sequence: 3, Code: "version_conflict", Field: "base_version", Reason: "built on version 1, the current version is 0"}
	return []struct {
		name   string
		update registry.Update
	}{
		{name: "update-head", update: update(permission.Control("control-1"), nil, []registry.Record{
			registry.Add(registry.SOARecord(catalog.Apex, registry.SOA{Primary: "control-1", Serial: 2, Refresh: soaRefresh, Expire: soaExpire})),
		})},
		{name: "update-members", update: update(permission.Control("control-1"), nil, []registry.Record{
			registry.Add(registry.NSRecord(catalog.Apex, "control-4")),
			registry.DeleteRecord(registry.NSRecord(catalog.Apex, "control-3")),
		})},
		{name: "update-gateway-added", update: update(permission.Control("control-1"),
			[]registry.Record{registry.Absent(catalog.GatewayName("gateway-1"), catalog.TypeGateway)},
			[]registry.Record{registry.Add(catalog.GatewayRecord("gateway-1", gateway))},
		)},
		{name: "update-gateway-down", update: update(permission.Control("control-1"),
			[]registry.Record{registry.Equals(catalog.GatewayRecord("gateway-1", gateway))},
			[]registry.Record{registry.Add(catalog.GatewayRecord("gateway-1", down))},
		)},
		{name: "update-evacuation", update: update(permission.Operator("operator-1"),
			[]registry.Record{registry.Absent(catalog.OperationName("operation-1"), catalog.TypeOperation)},
			[]registry.Record{
				registry.Add(catalog.EvacuationRecord("zone-1", catalog.Evacuation{Author: "operator-1", OperationID: "operation-1"})),
				registry.Add(catalog.OperationResultRecord("operation-1", accepted)),
			},
		)},
		{name: "update-refusal", update: update(permission.Operator(""),
			[]registry.Record{registry.Absent(catalog.OperationName("operation-2"), catalog.TypeOperation)},
			[]registry.Record{registry.Add(catalog.OperationResultRecord("operation-2", refused))},
		)},
		{name: "update-replicas", update: update(permission.Platform, nil, []registry.Record{
			registry.Add(catalog.ReplicaRecord("replica-1", catalog.Replica{Service: "service-1", Zone: "zone-1", Region: "region-1", Address: "10.0.2.1:9000", Slots: 4})),
			registry.Add(catalog.DrainRecord("replica-1", catalog.Drain{Reason: "listed as draining"})),
		})},
		{name: "update-condition", update: update(permission.Gateway("10.0.1.1:7141"), nil, []registry.Record{
			registry.Add(catalog.ConditionRecord("replica-1", catalog.Condition{State: catalog.ConditionUp})),
		})},
	}
}

func TestGoldenEntries(t *testing.T) {
	for _, c := range goldenUpdates() {
		t.Run(c.name, func(t *testing.T) {
			encoded, err := registry.EncodeUpdate(&c.update)
			if err != nil {
				t.Fatal(err)
			}
			stored := golden.Compare(t, "entry-"+c.name, encoded)
			decoded, err := registry.DecodeUpdate(stored)
			if err != nil {
				t.Fatal(err)
			}
			if difference := cmp.Diff(c.update, decoded); difference != "" {
				t.Errorf("decoded (-want +got):\n%s", difference)
			}
		})
	}
}

// TestGoldenSnapshot checks that applying the golden entries to the golden first snapshot
// results in the golden second snapshot.
func TestGoldenSnapshot(t *testing.T) {
	first, err := Decode(golden.Read(t, "snapshot-first"))
	if err != nil {
		t.Fatal(err)
	}
	if first.Cluster != goldenCluster || first.Voters != 3 || len(first.Operations) != 0 {
		t.Errorf("the first snapshot has group %q, %d voters and operations %v; want the golden group, 3 voters and no operations", first.Cluster, first.Voters, first.Operations)
	}
	state, err := Restore(first)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range goldenUpdates() {
		update, err := registry.DecodeUpdate(golden.Read(t, "entry-"+c.name))
		if err != nil {
			t.Fatal(err)
		}
		result := state.Apply(&update)
		if result.Code != registry.NoError || !result.Changed {
			t.Errorf("applying %s returned %+v, want a change without an error", c.name, result)
		}
	}
	encodedTable, err := state.Table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	want := Snapshot{
		Cluster: goldenCluster,
		Table:   encodedTable,
		Operations: []OperationEntry{
			{Name: catalog.OperationName("operation-1"), Serial: 6},
			{Name: catalog.OperationName("operation-2"), Serial: 7},
		},
		Voters: 3,
	}
	encoded, err := state.Encode(goldenCluster)
	if err != nil {
		t.Fatal(err)
	}
	stored := golden.Compare(t, "snapshot", encoded)
	decoded, err := Decode(stored)
	if err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(want, decoded); difference != "" {
		t.Errorf("decoded (-want +got):\n%s", difference)
	}
}
