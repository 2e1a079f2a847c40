package dispatch

import (
	"strings"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routemap"
)

// TestSlowStart checks that a replica that is warming up is used only by its slow-start
// owner, at a low rate, and only if there is no warm one.
func TestSlowStart(t *testing.T) {
	f := newFixture(t)
	f.configure(func(_ *routemap.Route, service *routemap.Service) {
		service.SlowStartRate, service.SlowStartDuration = 10, 3*time.Second
	})
	f.addReplica("a", "east-1")
	f.addReplica("b", "east-1")
	f.apply(registry.Add(catalog.ConditionRecord("a", catalog.Condition{State: catalog.ConditionWarmingUp})))
	for range 10 {
		f.serve(nil)
	}
	if attempted := f.attemptedReplicas(); strings.Contains(strings.Join(attempted, ","), "a") {
		t.Errorf("a replica that is warming up got requests although there is a warm one: %v", attempted)
	}
	f.apply(registry.DeleteName(catalog.ReplicaName("b")))
	f.sent = nil
	for range 10 {
		f.serve(nil)
	}
	if attempted := f.attemptedReplicas(); len(attempted) != 1 {
		t.Errorf("%d of 10 immediate requests reached a replica that is warming up, want 1", len(attempted))
	}
	// Exactly one of several gateways is the slow-start owner.
	f.apply(
		registry.Add(catalog.GatewayRecord("g2", catalog.Gateway{Region: ownRegion, Zone: "east-1", Up: true})),
		registry.Add(catalog.GatewayRecord("g3", catalog.Gateway{Region: ownRegion, Zone: "east-1", Up: true})),
		registry.Add(catalog.GatewayRecord("g4", catalog.Gateway{Region: ownRegion, Zone: "east-1", Up: true})),
	)
	owners := 0
	for _, name := range []string{"g1", "g2", "g3", "g4"} {
		f.dispatcher.options.Gateway = name
		f.dispatcher.replicas["a"].nextSlowStart = time.Time{}
		if _, requestErr := f.serve(nil); requestErr == nil {
			owners++
		}
	}
	if owners != 1 {
		t.Errorf("%d gateways are slow-start owners, want 1", owners)
	}
}

// TestSlowStartAfterEvacuation checks that the replicas of a zone are in slow start after its
// evacuation has ended, because their caches may have become cold.
func TestSlowStartAfterEvacuation(t *testing.T) {
	f := newFixture(t)
	f.configure(func(_ *routemap.Route, service *routemap.Service) {
		service.SlowStartRate, service.SlowStartDuration = 10, 3*time.Second
	})
	f.addReplica("a", "east-1")
	f.apply(registry.Add(catalog.EvacuationRecord("east-1", catalog.Evacuation{OperationID: "o"})))
	f.apply(registry.DeleteRRset(catalog.ZoneName("east-1"), catalog.TypeEvacuation))
	for range 5 {
		f.serve(nil)
	}
	if attempted := f.attemptedReplicas(); len(attempted) != 1 {
		t.Errorf("%d of 5 immediate requests reached a zone whose evacuation just ended, want 1", len(attempted))
	}
}
