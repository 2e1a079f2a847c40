package routing

import (
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
)

// fleet builds plans for tests by applying its records to a registry table.
type fleet struct {
	t       testing.TB
	records []registry.Record
}

// newFleet returns a fleet with two regions, east and west, each of which has one zone and
// one gateway but no replicas.
func newFleet(tb testing.TB) *fleet {
	tb.Helper()
	f := &fleet{t: tb}
	f.set(
		catalog.ConfigurationRecord(catalog.Configuration{Version: 1}),
		catalog.LimitsRecord(catalog.Limits{QueueLength: 8}),
		catalog.ServiceRecord("large", catalog.Service{Kind: "model", MaxConcurrency: 4}),
		catalog.RouteRecord("large-1", catalog.Route{Service: "large"}),
		catalog.RegionRecord("east", catalog.Region{Spill: []string{"west"}, Capacity: 5}),
		catalog.RegionRecord("west", catalog.Region{Spill: []string{"east"}, Capacity: 4}),
		catalog.ZoneRecord("east-a", catalog.Zone{Region: "east"}),
		catalog.ZoneRecord("west-a", catalog.Zone{Region: "west"}),
		catalog.HomeRecord("east-only", catalog.Home{Regions: []string{"east"}}),
		catalog.HomeRecord("west-only", catalog.Home{Regions: []string{"west"}}),
		catalog.TenantRecord("east-tenant", catalog.Tenant{Home: "east-only"}),
		catalog.ClientRecord("west-clients", catalog.Client{Region: "west"}),
	)
	f.gateway("g1", "east-a", "east", true)
	f.gateway("g2", "west-a", "west", true)
	return f
}

// set adds records and replaces those that have the same name and type.
func (f *fleet) set(records ...registry.Record) {
	for _, record := range records {
		f.remove(record.Name, record.Type)
		f.records = append(f.records, record)
	}
}

func (f *fleet) remove(name registry.Name, recordType registry.Type) {
	for index, record := range f.records {
		if record.Name == name && record.Type == recordType {
			f.records = append(f.records[:index], f.records[index+1:]...)
			return
		}
	}
}

func (f *fleet) gateway(name, zone, region string, up bool) {
	f.set(catalog.GatewayRecord(name, catalog.Gateway{Incarnation: "1", Zone: zone, Region: region, Up: up}))
}

func (f *fleet) replica(name, zone, region string) {
	f.set(catalog.ReplicaRecord(name, catalog.Replica{
		Service: "large", Zone: zone, Region: region, Address: name + ":80",
	}))
}

// condition sets the condition of replica r1.
func (f *fleet) condition(state catalog.ConditionState, warmupGateway string) {
	f.set(catalog.ConditionRecord("r1", catalog.Condition{State: state, Incarnation: "r1-1", WarmupGateway: warmupGateway}))
}

// plan returns the plan of the current records.
func (f *fleet) plan() *Plan {
	f.t.Helper()
	return f.planAfter(1)
}

// planAfter returns the plan with the serial that follows the given one.
func (f *fleet) planAfter(serial uint32) *Plan {
	f.t.Helper()
	table, err := registry.New(catalog.Apex, catalog.Schema(), registry.SOA{Primary: "c1", Serial: serial}, []string{"c1"})
	if err != nil {
		f.t.Fatal(err)
	}
	changes := make([]registry.Record, 0, len(f.records))
	for _, record := range f.records {
		changes = append(changes, registry.Add(record))
	}
	update := registry.NewUpdate(catalog.Apex, nil, changes)
	if result := table.Apply(&update, nil); result.Code != registry.NoError {
		f.t.Fatalf("applying the records to the table: %v", result)
	}
	contents, err := catalog.Read(table.View())
	if err != nil {
		f.t.Fatal(err)
	}
	return contents
}

// report returns the first report of a warm, idle replica.
func report(name string) api.ReplicaReport {
	return api.ReplicaReport{
		Replica: name, Incarnation: name + "-1", Service: "large",
		Slots: 4, PrefillTokensPerSecond: 1000, Sequence: 1, ConfigurationVersion: 1,
	}
}

// request returns a quick request without prefixes that is due in 10 s.
func request(id string) Request {
	return Request{
		ID: id, Model: "large-1", Service: "large", Class: api.ClassQuick,
		PromptTokens: 10, Deadline: time.Now().Add(10 * time.Second), Attempt: 1,
	}
}

func newRouter(region, gateway string) *Router {
	return New(Config{Region: region, Gateway: gateway, Seed: 1})
}

// newSingleReplicaFleet returns a fleet with one replica, and a router that has received a
// report of that replica.
func newSingleReplicaFleet(tb testing.TB) (*fleet, *Router) {
	tb.Helper()
	f := newFleet(tb)
	f.replica("r1", "east-a", "east")
	router := newRouter("east", "g1")
	router.SetPlan(f.plan())
	router.RecordReport("r1", report("r1"), time.Now())
	return f, router
}

// mustReserve reserves a replica for a request, and fails the test if it is rejected.
func mustReserve(t *testing.T, router *Router, request Request) *Reservation {
	t.Helper()
	reservation, failure := router.Reserve(request)
	if failure != nil {
		t.Fatalf("request %q was rejected: %v", request.ID, failure)
	}
	return reservation
}

// wantRejected fails the test unless the request is rejected with the given code.
func wantRejected(t *testing.T, router *Router, request Request, code api.Code) {
	t.Helper()
	reservation, failure := router.Reserve(request)
	if reservation != nil || failure == nil || failure.Code != code || failure.Outcome != api.OutcomeRefused {
		t.Fatalf("request %q: got reservation %v, error %v; want a rejection with code %s", request.ID, reservation, failure, code)
	}
}
