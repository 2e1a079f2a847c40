package routing

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
)

// TestFeederChange hands a cold replica from one feeder to the next: the new
// one waits until it must have seen what the old one had under way.
func TestFeederChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.replica("r1", "east-a", "east")
		f.condition(catalog.ConditionWarmingUp, "g9")
		router := newRouter("east", "g1")
		cold := report("r1")
		cold.Cold = true
		router.SetPlan(f.plan())
		router.Observe("r1", cold, time.Now())
		wantRefused(t, router, request("another feeds"), api.CodeNoCapacity)
		if feeders := router.WarmupGateways("large"); len(feeders) != 1 || feeders[0] != "g9" {
			t.Fatalf("feeders %v", feeders)
		}
		f.condition(catalog.ConditionWarmingUp, "g1")
		router.SetPlan(f.plan())
		wantRefused(t, router, request("too early"), api.CodeNoCapacity)
		time.Sleep(feederChange)
		cold.Sequence, cold.Running = 2, 1
		router.Observe("r1", cold, time.Now())
		wantRefused(t, router, request("the old feeder's is still running"), api.CodeOverloaded)
		cold.Sequence, cold.Running = 3, 0
		router.Observe("r1", cold, time.Now())
		mustReserve(t, router, request("first"))
		wantRefused(t, router, request("second"), api.CodeOverloaded)
	})
}

// TestColdAgain lets a warm replica with work under way become cold without a
// restart: it gets nothing until it has a feeder, and the ramp starts anew.
func TestColdAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.replica("r1", "east-a", "east")
		f.condition(catalog.ConditionUp, "")
		router := newRouter("east", "g1")
		router.SetPlan(f.plan())
		told := report("r1")
		for told.Sequence = 1; told.Sequence < 9; told.Sequence++ {
			router.Observe("r1", told, time.Now())
			mustReserve(t, router, request("warms")).Finish(ResultSuccess, nil, time.Now())
		}
		early := []*Reservation{mustReserve(t, router, request("a")), mustReserve(t, router, request("b"))}
		told.Cold, told.Running = true, 2
		router.Observe("r1", told, time.Now())
		wantRefused(t, router, request("no feeder yet"), api.CodeNoCapacity)
		f.condition(catalog.ConditionWarmingUp, "g1")
		router.SetPlan(f.plan())
		wantRefused(t, router, request("earlier work is under way"), api.CodeOverloaded)
		for _, slot := range early {
			slot.Finish(ResultCanceled, nil, time.Now())
		}
		mustReserve(t, router, request("first step"))
		wantRefused(t, router, request("second"), api.CodeOverloaded)
	})
}

// TestColdReplicaIsFedShortRequestsFirst gives the first step of a ramp to a
// long request only when nothing shorter has come.
func TestColdReplicaIsFedShortRequestsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.replica("r1", "east-a", "east")
		f.condition(catalog.ConditionWarmingUp, "g1")
		router := newRouter("east", "g1")
		router.SetPlan(f.plan())
		told := report("r1")
		told.Cold = true
		router.Observe("r1", told, time.Now())
		long := request("long")
		long.Class = api.ClassLong
		wantRefused(t, router, long, api.CodeOverloaded)
		mustReserve(t, router, request("quick")).Finish(ResultSuccess, nil, time.Now())
		mustReserve(t, router, long)
		wantRefused(t, router, long, api.CodeOverloaded)
		mustReserve(t, router, request("beside the long one")).Finish(ResultCanceled, nil, time.Now())

		alone := newRouter("east", "g1")
		alone.SetPlan(f.plan())
		alone.Observe("r1", told, time.Now())
		time.Sleep(time.Second)
		told.Sequence++
		alone.Observe("r1", told, time.Now())
		time.Sleep(time.Second)
		mustReserve(t, alone, long)
	})
}
