package catalog

import (
	"testing"

	"github.com/deckpulley/deckpulley/registry"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// newTable returns a table that contains one object of most kinds.
func newTable(t *testing.T) *registry.Table {
	t.Helper()
	table, err := registry.New(Apex, Schema(), registry.SOA{Primary: "control-1", Serial: 1}, []string{"control-1"})
	if err != nil {
		t.Fatal(err)
	}
	chunks, digests := ChunkRecords("regions: {}\n")
	apply(t, table, append(chunks,
		ConfigurationRecord(Configuration{Version: 1, Author: "anna", Chunks: digests}),
		LimitsRecord(Limits{QueueLength: 9}),
		ServiceRecord("explain", Service{Kind: "model", MaxConcurrency: 4}),
		RouteRecord("Explain.Long", Route{Service: "explain", Class: "long"}),
		RegionRecord("north", Region{Spill: []string{"south"}, Capacity: 5}),
		ZoneRecord("north-1", Zone{Region: "north"}),
		EvacuationRecord("north-1", Evacuation{OperationID: "operation-1"}),
		ClientRecord("branch", Client{Region: "north"}),
		HomeRecord("bank-home", Home{Regions: []string{"north"}}),
		TenantRecord("bank", Tenant{Home: "bank-home", Weight: 2}),
		ReplicaRecord("replica-1", Replica{Service: "explain", Zone: "north-1", Region: "north", Address: "127.0.0.1:1"}),
		DrainRecord("replica-1", Drain{}),
		ConditionRecord("replica-1", Condition{State: ConditionWarmingUp, WarmupGateway: "gateway-1"}),
		GatewayRecord("gateway-1", Gateway{Incarnation: "i", Up: true}),
		OperationResultRecord("operation-1", OperationResult{Digest: 7, Accepted: true, Version: 1, Sequence: 1}),
	)...)
	return table
}

// apply updates the table and fails the test if the table rejects the update.
func apply(t *testing.T, table *registry.Table, changes ...registry.Record) {
	t.Helper()
	update := registry.NewUpdate(Apex, nil, changes)
	if result := table.Apply(&update, nil); result.Code != registry.NoError {
		t.Fatalf("apply: %s, record %d: %v", result.Code, result.FailedIndex, result.Reason)
	}
}

func read(t *testing.T, table *registry.Table) *State {
	t.Helper()
	state, err := Read(table.View())
	if err != nil {
		t.Fatal(err)
	}
	return state
}

func TestReadDecodesObjects(t *testing.T) {
	state := read(t, newTable(t))
	route, hasRoute := state.Route("Explain.Long")
	client, _ := state.Client("branch")
	home, _ := state.Home("bank-home")
	tenant, _ := state.Tenant("bank")
	result, _ := state.OperationResult("operation-1")
	condition, _ := state.Condition("replica-1")
	configuration, _ := state.Configuration()
	got := []any{
		state.Version(), state.Serial(), state.Limits().QueueLength, state.Limits().RetryRatio,
		state.Services()["explain"].Kind, route.Service, hasRoute, state.Regions()["north"].Capacity,
		state.Zones()["north-1"].Region, state.IsEvacuated("north-1"), state.IsEvacuated("south-1"),
		client.Region, home.Regions[0], tenant.Weight, state.Replicas()["replica-1"].Address,
		state.IsDraining("replica-1"), condition.WarmupGateway, state.Gateways()["gateway-1"].Up, result.Digest,
		configuration.Document,
	}
	want := []any{
		uint64(1), uint32(2), 9, DefaultRetryRatio,
		"model", "explain", true, 5,
		"north", true, false,
		"north", "north", 2, "127.0.0.1:1",
		true, "gateway-1", true, uint64(7),
		"regions: {}\n",
	}
	if difference := cmp.Diff(want, got); difference != "" {
		t.Errorf("state differs (-want +got):\n%s", difference)
	}
	if _, found := state.Route("explain.long"); found {
		t.Error("Route found a route although the case of the name differs")
	}
}

func TestNextEqualsRead(t *testing.T) {
	table := newTable(t)
	before := read(t, table)
	services := before.Services()
	apply(t, table,
		registry.DeleteRRset(ZoneName("north-1"), TypeEvacuation),
		registry.DeleteRRset(ConfigurationName, TypeLimits),
		registry.DeleteRRset(ReplicaName("replica-1"), TypeDrain),
		ConditionRecord("replica-1", Condition{State: ConditionUp}),
		ReplicaRecord("replica-2", Replica{Service: "explain"}),
		RouteRecord("other", Route{Service: "explain"}),
	)
	next, err := before.Next(table.View(), table.TransferSince(before.Serial()))
	if err != nil {
		t.Fatal(err)
	}
	complete := read(t, table)
	// What Next has seen change is not in the view; TestEvacuationChangedSince checks it.
	options := []cmp.Option{cmp.AllowUnexported(State{}), cmpopts.IgnoreFields(State{}, "view", "evacuationSerials", "readSerial")}
	if difference := cmp.Diff(complete, next, options...); difference != "" {
		t.Errorf("Next differs from Read (-read +next):\n%s", difference)
	}
	apply(t, table, DrainRecord("replica-2", Drain{}))
	last := table.TransferSince(next.Serial())
	if skipped, err := before.Next(table.View(), last); err != nil || len(skipped.Replicas()) != 2 || !skipped.IsDraining("replica-2") {
		t.Errorf("after a transfer from another serial, Next did not read the whole view: %v", err)
	}
	if !before.IsEvacuated("north-1") || before.Limits().QueueLength != 9 || len(before.Replicas()) != 1 {
		t.Error("Next modified the state that it was called on")
	}
	services["probe"] = Service{}
	if _, shared := next.Service("probe"); !shared {
		t.Error("Next copied a set that the transfer does not change")
	}
}

// TestEvacuationChangedSince checks that a state knows the serial of each change of a zone's
// evacuation since it was read, also if the zone is as before, and no serial of earlier ones.
func TestEvacuationChangedSince(t *testing.T) {
	table := newTable(t)
	state := read(t, table)
	readAt := state.Serial()
	check := func(zone string, serial uint32, want bool) {
		t.Helper()
		if got := state.EvacuationChangedSince(zone, serial); got != want {
			t.Errorf("at serial %d: %s changed since %d: got %v, want %v", state.Serial(), zone, serial, got, want)
		}
	}
	next := func(change registry.Record) {
		t.Helper()
		apply(t, table, change)
		following, err := state.Next(table.View(), table.TransferSince(state.Serial()))
		if err != nil {
			t.Fatal(err)
		}
		state = following
	}
	check("north-1", readAt, false)
	check("north-1", readAt-1, true) // not known
	next(registry.DeleteRRset(ZoneName("north-1"), TypeEvacuation))
	ended := state.Serial()
	next(EvacuationRecord("north-1", Evacuation{OperationID: "again"}))
	begun := state.Serial()
	former := state
	next(registry.DeleteRRset(ZoneName("north-1"), TypeEvacuation))
	for _, serial := range []uint32{readAt, ended, begun} {
		check("north-1", serial, true)
	}
	check("north-1", state.Serial(), false)
	next(RouteRecord("other", Route{Service: "explain"}))
	check("north-1", state.Serial()-1, false)
	check("north-2", readAt, false)
	if former.EvacuationChangedSince("north-1", begun) {
		t.Error("Next modified the state that it was called on")
	}
	if state = read(t, table); !state.EvacuationChangedSince("north-1", state.Serial()-1) {
		t.Error("a state that was read anew knows earlier changes")
	}
}

func TestReplicaRegionIsCurrentRegionOfZone(t *testing.T) {
	table := newTable(t)
	state := read(t, table)
	cases := []struct {
		change registry.Record
		want   string
	}{
		{ZoneRecord("north-1", Zone{Region: "south"}), "south"},
		{ReplicaRecord("replica-1", Replica{Zone: "north-1", Region: "west"}), "south"},
		{registry.DeleteRRset(ZoneName("north-1"), TypeZone), ""},
		{ZoneRecord("north-1", Zone{Region: "north"}), "north"},
	}
	for _, c := range cases {
		apply(t, table, c.change)
		next, err := state.Next(table.View(), table.TransferSince(state.Serial()))
		if err != nil {
			t.Fatal(err)
		}
		state = next
		for _, each := range []*State{state, read(t, table)} {
			if got := each.Replicas()["replica-1"].Region; got != c.want {
				t.Errorf("replica-1 is in region %q, want %q", got, c.want)
			}
		}
	}
}
