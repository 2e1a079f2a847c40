package catalog

import (
	"strings"
	"testing"

	"github.com/deckpulley/deckpulley/registry"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

func TestObjectNamesAreReversible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		object := string(rapid.SliceOfN(rapid.Byte(), 1, MaxObjectNameBytes).Draw(t, "object"))
		name := RouteName(object)
		if canonical, err := registry.ParseName(string(name)); err != nil || canonical != name {
			t.Fatalf("place of %q: canonical %q, error %v", object, canonical, err)
		}
		back, err := ObjectName(name)
		if err != nil || back != object {
			t.Fatalf("object of %q: %q, error %v", name, back, err)
		}
	})
}

func TestObjectNames(t *testing.T) {
	cases := []struct {
		object string
		want   registry.Name
	}{
		{"explain-long", "explain-long.routes.places."},
		{"Explain", "_45xplain.routes.places."},
		{"v1.2_x", "v1_2e2_5fx.routes.places."},
		{"", ""},
		{strings.Repeat("a", MaxObjectNameBytes+1), ""},
	}
	for _, c := range cases {
		if got := RouteName(c.object); got != c.want {
			t.Errorf("RouteName(%q) = %q, want %q", c.object, got, c.want)
		}
	}
	foreign := []registry.Name{
		"places.", "routes.places.", "a.b.routes.places.", "_.routes.places.",
		"_6.routes.places.", "_61.routes.places.", "__!.routes.places.", "a.routes.elsewhere.",
	}
	for _, name := range foreign {
		if object, err := ObjectName(name); err == nil {
			t.Errorf("ObjectName(%q) = %q, want an error", name, object)
		}
	}
}

func TestDocumentsAreJoinedFromChunks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.StringMatching(`[a-z]{0,20}\n?`)
		text := strings.Join(rapid.SliceOfN(line, 0, 400).Draw(t, "lines"), "")
		text += strings.Repeat("x", rapid.IntRange(0, 3*maxChunkBytes).Draw(t, "long"))
		chunks := SplitChunks(text)
		if strings.Join(chunks, "") != text {
			t.Fatalf("chunks do not join to the text")
		}
		for _, chunk := range chunks {
			if len(chunk) == 0 || len(chunk) > maxChunkBytes {
				t.Fatalf("chunk of %d octets", len(chunk))
			}
		}
	})
}

// newTable returns a table with one object of each kind.
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
		EvacuationRecord("north-1", Evacuation{OperationID: "order-1"}),
		ClientRecord("branch", Client{Region: "north"}),
		HomeRecord("bank-home", Home{Regions: []string{"north"}}),
		TenantRecord("bank", Tenant{Home: "bank-home", Weight: 2}),
		ReplicaRecord("replica-1", Replica{Service: "explain", Zone: "north-1", Region: "north", Address: "127.0.0.1:1"}),
		DrainRecord("replica-1", Drain{}),
		ConditionRecord("replica-1", Condition{State: ConditionWarmingUp, WarmupGateway: "gateway-1"}),
		GatewayRecord("gateway-1", Gateway{Incarnation: "i", Up: true}),
		OperationResultRecord("order-1", OperationResult{Digest: 7, Accepted: true, Version: 1, Sequence: 1}),
	)...)
	return table
}

func apply(t *testing.T, table *registry.Table, changes ...registry.Record) registry.Result {
	t.Helper()
	update := registry.NewUpdate(Apex, nil, changes)
	result := table.Apply(&update, nil)
	if result.Code != registry.NoError {
		t.Fatalf("apply: %s, record %d: %v", result.Code, result.FailedIndex, result.Reason)
	}
	return result
}

func read(t *testing.T, table *registry.Table) *State {
	t.Helper()
	contents, err := Read(table.View())
	if err != nil {
		t.Fatal(err)
	}
	return contents
}

func TestReadEveryKind(t *testing.T) {
	contents := read(t, newTable(t))
	route, hasRoute := contents.Route("Explain.Long")
	client, _ := contents.Client("branch")
	home, _ := contents.Home("bank-home")
	tenant, _ := contents.Tenant("bank")
	order, _ := contents.OperationResult("order-1")
	condition, _ := contents.Condition("replica-1")
	configuration, _ := contents.Configuration()
	got := []any{
		contents.Version(), contents.Serial(), contents.Limits().QueueLength, contents.Limits().RetryRatio,
		contents.Services()["explain"].Kind, route.Service, hasRoute, contents.Regions()["north"].Capacity,
		contents.Zones()["north-1"].Region, contents.IsEvacuated("north-1"), contents.IsEvacuated("south-1"),
		client.Region, home.Regions[0], tenant.Weight, contents.Replicas()["replica-1"].Address,
		contents.IsDraining("replica-1"), condition.WarmupGateway, contents.Gateways()["gateway-1"].Up, order.Digest,
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
		t.Errorf("contents differ (-want +got):\n%s", difference)
	}
	if _, found := contents.Route("explain.long"); found {
		t.Error("a route is found under another case of its name")
	}
}

func TestNextEqualsRead(t *testing.T) {
	table := newTable(t)
	before := read(t, table)
	services := before.Services()
	apply(t, table,
		registry.DeleteSet(ZoneName("north-1"), TypeEvacuation),
		registry.DeleteSet(ConfigurationName, TypeLimits),
		registry.DeleteSet(ReplicaName("replica-1"), TypeDrain),
		ConditionRecord("replica-1", Condition{State: ConditionUp}),
		ReplicaRecord("replica-2", Replica{Service: "explain"}),
		RouteRecord("other", Route{Service: "explain"}),
	)
	next, err := before.Next(table.View(), table.TransferSince(before.Serial()))
	if err != nil {
		t.Fatal(err)
	}
	whole := read(t, table)
	options := []cmp.Option{cmp.AllowUnexported(State{}), cmpopts.IgnoreFields(State{}, "view")}
	if difference := cmp.Diff(whole, next, options...); difference != "" {
		t.Errorf("Next differs from Read (-read +next):\n%s", difference)
	}
	apply(t, table, DrainRecord("replica-2", Drain{}))
	last := table.TransferSince(next.Serial())
	if skipped, err := before.Next(table.View(), last); err != nil || len(skipped.Replicas()) != 2 || !skipped.IsDraining("replica-2") {
		t.Errorf("a transfer that starts elsewhere: %v", err)
	}
	if !before.IsEvacuated("north-1") || before.Limits().QueueLength != 9 || len(before.Replicas()) != 1 {
		t.Error("Next has changed the contents it started from")
	}
	services["probe"] = Service{}
	if _, shared := next.Service("probe"); !shared {
		t.Error("an untouched set was copied")
	}
}

func TestReplicasFollowTheirZone(t *testing.T) {
	table := newTable(t)
	contents := read(t, table)
	moves := []struct {
		change registry.Record
		want   string
	}{
		{ZoneRecord("north-1", Zone{Region: "south"}), "south"},
		{ReplicaRecord("replica-1", Replica{Zone: "north-1", Region: "west"}), "south"},
		{registry.DeleteSet(ZoneName("north-1"), TypeZone), ""},
		{ZoneRecord("north-1", Zone{Region: "north"}), "north"},
	}
	for _, move := range moves {
		apply(t, table, move.change)
		next, err := contents.Next(table.View(), table.TransferSince(contents.Serial()))
		if err != nil {
			t.Fatal(err)
		}
		contents = next
		for _, reading := range []*State{contents, read(t, table)} {
			if got := reading.Replicas()["replica-1"].Region; got != move.want {
				t.Errorf("region %q, want %q", got, move.want)
			}
		}
	}
}

func TestSchemaRejectsForeignData(t *testing.T) {
	table := newTable(t)
	update := registry.NewUpdate(Apex, nil, []registry.Record{
		{Name: RouteName("x"), Type: TypeRoute, Class: registry.ClassTable, Data: []byte("not CBOR")},
	})
	if result := table.Apply(&update, nil); result.Code != registry.FormErr {
		t.Errorf("code %s, want FORMERR", result.Code)
	}
}
