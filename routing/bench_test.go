package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
)

// BenchmarkReserve measures one request, from Reserve to Finish, with prefixes in a region
// of 240 replicas.
func BenchmarkReserve(b *testing.B) {
	f := newFleet(b)
	f.set(catalog.ServiceRecord("large", catalog.Service{Kind: "model", MaxConcurrency: 64}))
	for index := range 240 {
		f.replica(fmt.Sprint("r", index), "east-a", "east")
	}
	router := newRouter("east", "g1")
	router.SetPlan(f.plan())
	refresh := func(sequence uint64) {
		for index := range 240 {
			name := fmt.Sprint("r", index)
			reported := report(name)
			reported.Slots, reported.Sequence = 64, sequence
			router.RecordReport(name, reported, time.Now())
		}
	}
	refresh(1)
	prefixes := make([][]api.Prefix, 500)
	for index := range prefixes {
		prefixes[index] = []api.Prefix{{ID: "system", Tokens: 200}, {ID: fmt.Sprint(index), Tokens: 4000}}
	}
	reservations := make([]*Reservation, 0, 1000)
	b.ReportAllocs()
	index := 0
	for b.Loop() {
		index++
		if index%5000 == 0 {
			refresh(uint64(index))
		}
		incoming := request("request")
		incoming.Prefixes = prefixes[index%len(prefixes)]
		reservation, failure := router.Reserve(incoming)
		if failure != nil {
			b.Fatal(failure)
		}
		reservations = append(reservations, reservation)
		if len(reservations) == cap(reservations) { // 1000 requests are in flight
			for _, reservation := range reservations {
				reservation.Finish(ResultSuccess, nil, time.Now())
			}
			reservations = reservations[:0]
		}
	}
}

// BenchmarkSetPlan measures the activation of a plan with 12,000 replicas in 50 regions, of
// which 240 are in the local region.
func BenchmarkSetPlan(b *testing.B) {
	f := newFleet(b)
	for region := range 50 {
		name := fmt.Sprint("region", region)
		f.records = append(f.records, catalog.RegionRecord(name, catalog.Region{Capacity: 1}))
		f.records = append(f.records, catalog.GatewayRecord(name, catalog.Gateway{Incarnation: "1", Region: name, Zone: name, Up: true}))
		for index := range 240 {
			id := fmt.Sprint(name, "-", index)
			f.records = append(f.records, catalog.ReplicaRecord(id, catalog.Replica{
				Service: "large", Zone: name, Region: name, Address: id,
			}))
		}
	}
	plans := []*Plan{f.plan(), f.plan()}
	router := newRouter("region7", "region7")
	index := 0
	for b.Loop() {
		index++
		router.SetPlan(plans[index%2])
	}
}

// BenchmarkResolve measures Resolve and Regions for a request of a tenant with a home rule.
func BenchmarkResolve(b *testing.B) {
	f := newFleet(b)
	f.replica("r1", "east-a", "east")
	router := newRouter("east", "g1")
	router.SetPlan(f.plan())
	b.ReportAllocs()
	for b.Loop() {
		resolved, failure := router.Resolve(api.GenerateRequest{RequestID: "q", Model: "large-1", Tenant: "east-tenant"}, time.Now())
		if failure != nil || len(router.Regions(resolved)) != 1 {
			b.Fatal(failure)
		}
	}
}
