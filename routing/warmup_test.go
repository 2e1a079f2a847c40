package routing

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
)

// TestWarmupHandover checks that after a change of a replica's warm-up gateway the new one
// sends no request until a report must have shown those of the previous one.
func TestWarmupHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.replica("r1", "east-a", "east")
		f.condition(catalog.ConditionWarmingUp, "g9")
		router := newRouter("east", "g1")
		cold := report("r1")
		cold.Cold = true
		router.SetPlan(f.plan())
		router.RecordReport("r1", cold, time.Now())
		wantRejected(t, router, request("another gateway warms it up"), api.CodeNoCapacity)
		if gateways := router.WarmupGateways("large"); len(gateways) != 1 || gateways[0] != "g9" {
			t.Fatalf("warm-up gateways are %v, want only g9", gateways)
		}
		f.condition(catalog.ConditionWarmingUp, "g1")
		router.SetPlan(f.plan())
		wantRejected(t, router, request("too early"), api.CodeNoCapacity)
		time.Sleep(warmupHandoverDelay)
		cold.Sequence, cold.Running = 2, 1
		router.RecordReport("r1", cold, time.Now())
		wantRejected(t, router, request("a request of the previous gateway is still running"), api.CodeOverloaded)
		cold.Sequence, cold.Running = 3, 0
		router.RecordReport("r1", cold, time.Now())
		mustReserve(t, router, request("first"))
		wantRejected(t, router, request("second"), api.CodeOverloaded)
	})
}

// TestWarmupWithoutRestart checks that a warm replica that becomes cold without a restart
// gets no request until it has a warm-up gateway, and that a slow start then begins in
// which the earlier requests count.
func TestWarmupWithoutRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.replica("r1", "east-a", "east")
		f.condition(catalog.ConditionUp, "")
		router := newRouter("east", "g1")
		router.SetPlan(f.plan())
		reported := report("r1")
		for reported.Sequence = 1; reported.Sequence < 9; reported.Sequence++ {
			router.RecordReport("r1", reported, time.Now())
			mustReserve(t, router, request("warms")).Finish(ResultSuccess, nil, time.Now())
		}
		early := []*Reservation{mustReserve(t, router, request("a")), mustReserve(t, router, request("b"))}
		reported.Cold, reported.Running = true, 2
		router.RecordReport("r1", reported, time.Now())
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

// TestWarmupPrefersShortRequests checks that a replica in the first step of its slow start
// gets a long request only if it was sent no request for a while.
func TestWarmupPrefersShortRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.replica("r1", "east-a", "east")
		f.condition(catalog.ConditionWarmingUp, "g1")
		router := newRouter("east", "g1")
		router.SetPlan(f.plan())
		reported := report("r1")
		reported.Cold = true
		router.RecordReport("r1", reported, time.Now())
		long := request("long")
		long.Class = api.ClassLong
		wantRejected(t, router, long, api.CodeOverloaded)
		mustReserve(t, router, request("quick")).Finish(ResultSuccess, nil, time.Now())
		mustReserve(t, router, long)
		wantRejected(t, router, long, api.CodeOverloaded)
		mustReserve(t, router, request("beside the long one")).Finish(ResultCanceled, nil, time.Now())

		alone := newRouter("east", "g1")
		alone.SetPlan(f.plan())
		alone.RecordReport("r1", reported, time.Now())
		time.Sleep(time.Second)
		reported.Sequence++
		alone.RecordReport("r1", reported, time.Now())
		time.Sleep(time.Second)
		mustReserve(t, alone, long)
	})
}
