package routing

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
)

// TestWarmupHandover changes the warm-up gateway of a replica: the new one waits until
// a report must have shown the requests of the previous one.
func TestWarmupHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.replica("r1", "east-a", "east")
		f.condition(catalog.ConditionWarmingUp, "g9")
		router := newRouter("east", "g1")
		cold := report("r1")
		cold.Cold = true
		router.SetPlan(f.plan())
		router.Observe("r1", cold, time.Now())
		wantRejected(t, router, request("another gateway warms it up"), api.CodeNoCapacity)
		if gateways := router.WarmupGateways("large"); len(gateways) != 1 || gateways[0] != "g9" {
			t.Fatalf("warm-up gateways %v", gateways)
		}
		f.condition(catalog.ConditionWarmingUp, "g1")
		router.SetPlan(f.plan())
		wantRejected(t, router, request("too early"), api.CodeNoCapacity)
		time.Sleep(warmupHandoverDelay)
		cold.Sequence, cold.Running = 2, 1
		router.Observe("r1", cold, time.Now())
		wantRejected(t, router, request("a request of the previous gateway is still running"), api.CodeOverloaded)
		cold.Sequence, cold.Running = 3, 0
		router.Observe("r1", cold, time.Now())
		mustReserve(t, router, request("first"))
		wantRejected(t, router, request("second"), api.CodeOverloaded)
	})
}

// TestWarmupWithoutRestart makes a warm replica with requests in flight cold without a
// restart: it gets nothing until it has a warm-up gateway, and a slow start begins.
func TestWarmupWithoutRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.replica("r1", "east-a", "east")
		f.condition(catalog.ConditionUp, "")
		router := newRouter("east", "g1")
		router.SetPlan(f.plan())
		reported := report("r1")
		for reported.Sequence = 1; reported.Sequence < 9; reported.Sequence++ {
			router.Observe("r1", reported, time.Now())
			mustReserve(t, router, request("warms")).Finish(ResultSuccess, nil, time.Now())
		}
		early := []*Reservation{mustReserve(t, router, request("a")), mustReserve(t, router, request("b"))}
		reported.Cold, reported.Running = true, 2
		router.Observe("r1", reported, time.Now())
		wantRejected(t, router, request("no warm-up gateway yet"), api.CodeNoCapacity)
		f.condition(catalog.ConditionWarmingUp, "g1")
		router.SetPlan(f.plan())
		wantRejected(t, router, request("earlier requests are in flight"), api.CodeOverloaded)
		for _, reservation := range early {
			reservation.Finish(ResultCanceled, nil, time.Now())
		}
		mustReserve(t, router, request("first step"))
		wantRejected(t, router, request("second"), api.CodeOverloaded)
	})
}

// TestWarmupPrefersShortRequests checks that a long request gets the first step of a
// slow start only if no shorter one has come for a while.
func TestWarmupPrefersShortRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.replica("r1", "east-a", "east")
		f.condition(catalog.ConditionWarmingUp, "g1")
		router := newRouter("east", "g1")
		router.SetPlan(f.plan())
		reported := report("r1")
		reported.Cold = true
		router.Observe("r1", reported, time.Now())
		long := request("long")
		long.Class = api.ClassLong
		wantRejected(t, router, long, api.CodeOverloaded)
		mustReserve(t, router, request("quick")).Finish(ResultSuccess, nil, time.Now())
		mustReserve(t, router, long)
		wantRejected(t, router, long, api.CodeOverloaded)
		mustReserve(t, router, request("beside the long one")).Finish(ResultCanceled, nil, time.Now())

		alone := newRouter("east", "g1")
		alone.SetPlan(f.plan())
		alone.Observe("r1", reported, time.Now())
		time.Sleep(time.Second)
		reported.Sequence++
		alone.Observe("r1", reported, time.Now())
		time.Sleep(time.Second)
		mustReserve(t, alone, long)
	})
}
