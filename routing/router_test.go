package routing

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
)

// unusableReplicaCases lists the reasons why a replica gets no new requests. Begin makes
// each one apply and end removes it.
var unusableReplicaCases = []struct {
	name  string
	begin func(f *fleet, r *Router)
	end   func(f *fleet, r *Router)
}{
	{
		name: "replica reports that it is draining",
		begin: func(_ *fleet, r *Router) {
			reported := report("r1")
			reported.Draining, reported.Sequence = true, 2
			r.RecordReport("r1", reported, time.Now())
		},
		end: func(_ *fleet, r *Router) {
			reported := report("r1")
			reported.Sequence = 3
			r.RecordReport("r1", reported, time.Now())
		},
	},
	{
		name:  "platform drains the replica",
		begin: func(f *fleet, _ *Router) { f.set(catalog.DrainRecord("r1", catalog.Drain{})) },
		end:   func(f *fleet, _ *Router) { f.remove(catalog.ReplicaName("r1"), catalog.TypeDrain) },
	},
	{
		name:  "condition is draining",
		begin: func(f *fleet, _ *Router) { f.condition(catalog.ConditionDraining, "") },
		end:   func(f *fleet, _ *Router) { f.condition(catalog.ConditionUp, "") },
	},
	{
		name:  "condition is down",
		begin: func(f *fleet, _ *Router) { f.condition(catalog.ConditionDown, "") },
		end:   func(f *fleet, _ *Router) { f.condition(catalog.ConditionUp, "") },
	},
	{
		name: "zone is evacuated",
		begin: func(f *fleet, _ *Router) {
			f.set(catalog.EvacuationRecord("east-a", catalog.Evacuation{OperationID: "o"}))
		},
		end: func(f *fleet, _ *Router) { f.remove(catalog.ZoneName("east-a"), catalog.TypeEvacuation) },
	},
	{
		name:  "warmed up by another gateway",
		begin: func(f *fleet, _ *Router) { f.condition(catalog.ConditionWarmingUp, "g9") },
		end:   func(f *fleet, _ *Router) { f.condition(catalog.ConditionWarmingUp, "g1") },
	},
	{
		name:  "poll failed",
		begin: func(_ *fleet, r *Router) { r.RecordPollFailure("r1", time.Now()) },
		end:   func(_ *fleet, r *Router) { r.RecordReport("r1", report("r1"), time.Now()) },
	},
	{
		name:  "connection broke",
		begin: func(_ *fleet, r *Router) { r.RecordConnectionFailure("r1", report("r1").Incarnation, time.Now()) },
		end:   func(_ *fleet, r *Router) { r.RecordReport("r1", report("r1"), time.Now()) },
	},
	{
		name: "replica reports a newer configuration",
		begin: func(_ *fleet, r *Router) {
			reported := report("r1")
			reported.ConfigurationVersion, reported.Sequence = 2, 2
			r.RecordReport("r1", reported, time.Now())
		},
		end: func(f *fleet, _ *Router) {
			f.set(catalog.ConfigurationRecord(catalog.Configuration{Version: 2}))
		},
	},
	{
		name: "restarted and cold",
		begin: func(_ *fleet, r *Router) {
			reported := report("r1")
			reported.Incarnation, reported.Cold = "r1-2", true
			r.RecordReport("r1", reported, time.Now())
		},
		end: func(f *fleet, _ *Router) {
			f.set(catalog.ConditionRecord("r1", catalog.Condition{
				State: catalog.ConditionWarmingUp, Incarnation: "r1-2", WarmupGateway: "g1",
			}))
		},
	},
	{
		name:  "replica stops reporting",
		begin: func(_ *fleet, _ *Router) { time.Sleep(1500 * time.Millisecond) },
		end:   func(_ *fleet, r *Router) { r.RecordReport("r1", report("r1"), time.Now()) },
	},
}

// TestConnectionFailureOfPreviousIncarnation checks that a broken connection to an
// incarnation of a replica does not affect the next incarnation, which has already reported.
func TestConnectionFailureOfPreviousIncarnation(t *testing.T) {
	_, router := newSingleReplicaFleet(t)
	early := mustReserve(t, router, request("early"))
	next := report("r1")
	next.Incarnation = "r1-2"
	router.RecordReport("r1", next, time.Now())
	if router.RecordConnectionFailure("r1", early.Incarnation, time.Now()) {
		t.Error("RecordConnectionFailure with the previous incarnation returned true")
	}
	early.Finish(ResultFailed, nil, time.Now())
	if late := mustReserve(t, router, request("late")); late.Incarnation != "r1-2" {
		t.Errorf("the request was placed at incarnation %q, want r1-2", late.Incarnation)
	}
}

// TestUnusableReplicas checks for each reason separately that the replica gets no new
// requests while it applies, and gets some again after it has ended.
func TestUnusableReplicas(t *testing.T) {
	for _, c := range unusableReplicaCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, router := newSingleReplicaFleet(t)
				early := mustReserve(t, router, request("early"))
				c.begin(f, router)
				router.SetPlan(f.plan())
				wantRejected(t, router, request("during"), api.CodeNoCapacity)
				if early.Usable(time.Now()) {
					t.Fatal("a reservation that was granted before is still usable")
				}
				early.Finish(ResultNotStarted, nil, time.Now())
				c.end(f, router)
				router.SetPlan(f.plan())
				time.Sleep(warmupHandoverDelay)
				mustReserve(t, router, request("after"))
			})
		})
	}
}

// TestNewPlanRejectsQueuedRequests checks that queued requests are rejected immediately,
// and not at their deadline, when a new plan evacuates the zone of their only replica.
func TestNewPlanRejectsQueuedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, router := newSingleReplicaFleet(t)
		mustReserve(t, router, request("holds the first step of the slow start"))
		answers := make(chan *api.Error, 2)
		for index := range 2 {
			waiting := request(fmt.Sprint("waits", index))
			go func() {
				_, failure := router.Acquire(t.Context(), waiting)
				answers <- failure
			}()
		}
		synctest.Wait()
		start := time.Now()
		f.set(catalog.EvacuationRecord("east-a", catalog.Evacuation{OperationID: "o"}))
		router.SetPlan(f.plan())
		for range 2 {
			failure := <-answers
			if failure == nil || failure.Code != api.CodeNoCapacity || failure.RetryAfterMS <= 0 {
				t.Fatalf("got error %v, want no_capacity with a retry delay", failure)
			}
		}
		if waited := time.Since(start); waited > 0 {
			t.Fatalf("rejected after %v, want immediately", waited)
		}
	})
}

// TestAcquire checks that a waiting Acquire returns when its context is canceled, when
// another reservation is finished, and when no replica has been usable for a while.
func TestAcquire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, router := newSingleReplicaFleet(t)
		held := mustReserve(t, router, request("holder"))
		ctx, cancel := context.WithCancel(t.Context())
		gone := make(chan *api.Error, 1)
		go func() {
			_, failure := router.Acquire(ctx, request("canceled"))
			gone <- failure
		}()
		synctest.Wait()
		cancel()
		if failure := <-gone; failure == nil || failure.Code != api.CodeCanceled {
			t.Fatalf("canceled request: got error %v, want code canceled", failure)
		}
		granted := make(chan *Reservation, 1)
		go func() {
			reservation, failure := router.Acquire(t.Context(), request("waits"))
			if failure != nil {
				t.Errorf("the waiting request was rejected: %v", failure)
			}
			granted <- reservation
		}()
		synctest.Wait()
		held.Finish(ResultSuccess, nil, time.Now())
		held.Finish(ResultSuccess, nil, time.Now())
		reservation := <-granted
		if got := router.Status().Services[0]; got.InFlight != 1 || got.Queued != 0 {
			t.Fatalf("status is %+v, want 1 request in flight and none queued", got)
		}
		reservation.Finish(ResultSuccess, nil, time.Now())
		time.Sleep(1400 * time.Millisecond) // the replica becomes unusable without reports
		start := time.Now()
		_, failure := router.Acquire(t.Context(), request("late"))
		if failure == nil || failure.Code != api.CodeNoCapacity {
			t.Fatalf("without a usable replica: got error %v, want code no_capacity", failure)
		}
		if waited := time.Since(start); waited > unusableWait+tickInterval {
			t.Fatalf("rejected only after %v without a usable replica", waited)
		}
	})
}

// TestHomeRules checks that the home rules of a request, its route and its tenant all
// restrict its regions, and that those of a new plan apply to a resolved request.
func TestHomeRules(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.replica("r1", "east-a", "east")
		f.replica("r2", "west-a", "west")
		router := newRouter("east", "g1")
		router.SetPlan(f.plan())
		router.RecordReport("r1", report("r1"), time.Now())
		resolve := func(generate api.GenerateRequest) Request {
			generate.RequestID, generate.Model = "q", "large-1"
			resolved, failure := router.Resolve(generate, time.Now())
			if failure != nil {
				t.Fatalf("Resolve: %v", failure)
			}
			return resolved
		}
		free := resolve(api.GenerateRequest{})
		if got := router.Regions(free); len(got) != 2 || got[0] != "east" {
			t.Fatalf("without a home rule: got regions %v, want two with east first", got)
		}
		if got := router.Regions(resolve(api.GenerateRequest{Client: "west-clients"})); got[0] != "west" {
			t.Fatalf("with a client of region west: got regions %v, want west first", got)
		}
		if got := router.Regions(resolve(api.GenerateRequest{Tenant: "east-tenant", Client: "west-clients"})); len(got) != 1 || got[0] != "east" {
			t.Fatalf("with a tenant whose home is east: got regions %v, want only east", got)
		}
		west := resolve(api.GenerateRequest{Home: "west-only"})
		wantRejected(t, router, west, api.CodeHomeUnavailable)
		_, failure := router.Resolve(api.GenerateRequest{Model: "large-1", Tenant: "east-tenant", Home: "west-only"}, time.Now())
		if failure == nil || failure.Code != api.CodeHomeUnavailable {
			t.Fatalf("home rules without a common region: got error %v, want code home_unavailable", failure)
		}
		// A new plan adds a home rule to the route. It also applies to the request that was
		// resolved without one.
		f.set(catalog.RouteRecord("large-1", catalog.Route{Service: "large", Home: "west-only"}))
		router.SetPlan(f.plan())
		if got := router.Regions(free); len(got) != 1 || got[0] != "west" {
			t.Fatalf("with the home rule of the new plan: got regions %v, want only west", got)
		}
		wantRejected(t, router, free, api.CodeHomeUnavailable)
		f.set(catalog.EvacuationRecord("west-a", catalog.Evacuation{OperationID: "o"}))
		router.SetPlan(f.plan())
		if got := router.Regions(free); len(got) != 0 {
			t.Fatalf("with the only zone of the home evacuated: got regions %v, want none", got)
		}
		if rejected := router.Rejection(free); rejected.Code != api.CodeHomeUnavailable {
			t.Fatalf("Rejection returned %v, want code home_unavailable", rejected)
		}
	})
}

// TestLongRequestsLeaveCapacity checks that a replica with as many long requests as it
// accepts still has capacity for a quick one, also if other gateways use most of its slots.
func TestLongRequestsLeaveCapacity(t *testing.T) {
	for others := range 4 {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			f.replica("r1", "east-a", "east")
			router := newRouter("east", "g1")
			router.SetPlan(f.plan())
			for sequence := range uint64(4) { // completes the slow start
				reported := report("r1")
				reported.Sequence = sequence + 1
				router.RecordReport("r1", reported, time.Now())
				mustReserve(t, router, request("warms")).Finish(ResultSuccess, nil, time.Now())
			}
			reported := report("r1")
			reported.Sequence, reported.Running = 9, others
			router.RecordReport("r1", reported, time.Now())
			granted := 0
			for range 8 {
				long := request("long")
				long.Class = api.ClassLong
				if _, failure := router.Reserve(long); failure == nil {
					granted++
				}
			}
			if granted != 3 && others == 0 || granted >= 4 || granted == 0 {
				t.Fatalf("%d long requests granted on four slots with %d requests of other gateways", granted, others)
			}
			mustReserve(t, router, request("quick"))
		})
	}
}

// TestAllReplicasExcluded checks that a request that has tried every usable replica is
// rejected immediately.
func TestAllReplicasExcluded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, router := newSingleReplicaFleet(t)
		again := request("again")
		again.ExcludedReplicas = map[string]bool{"r1": true}
		start := time.Now()
		if _, failure := router.Acquire(t.Context(), again); failure == nil || failure.Code != api.CodeNoCapacity {
			t.Fatalf("got error %v, want code no_capacity", failure)
		}
		if waited := time.Since(start); waited > 0 {
			t.Fatalf("rejected after %v, not immediately", waited)
		}
	})
}

// TestWaitsForCachedPrefix checks that a request waits for the replica that has its prefix
// cached, which is full, although the other replica has capacity, and that a request that
// may not wait is placed at the other replica.
func TestWaitsForCachedPrefix(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.replica("r1", "east-a", "east")
		f.replica("r2", "east-a", "east")
		router := newRouter("east", "g1")
		router.SetPlan(f.plan())
		for sequence := range uint64(8) { // completes the slow start
			for _, name := range []string{"r1", "r2"} {
				reported := report(name)
				reported.Sequence = sequence + 1
				router.RecordReport(name, reported, time.Now())
			}
			first, second := mustReserve(t, router, request("a")), mustReserve(t, router, request("b"))
			time.Sleep(100 * time.Millisecond)
			first.Finish(ResultSuccess, nil, time.Now())
			second.Finish(ResultSuccess, nil, time.Now())
		}
		shared := request("shared")
		shared.Prefixes = []api.Prefix{{ID: "repository", Tokens: 4000}}
		holders := []*Reservation{mustReserve(t, router, shared)}
		for len(holders) < 4 {
			holders = append(holders, mustReserve(t, router, shared))
		}
		holder := holders[0].Replica
		other := map[string]string{"r1": "r2", "r2": "r1"}[holder]
		for _, reservation := range holders {
			if reservation.Replica != holder {
				t.Fatalf("requests with the same prefix were placed at %s and %s", holder, reservation.Replica)
			}
		}
		reported := report(other)
		reported.Sequence, reported.Running = 20, 3
		router.RecordReport(other, reported, time.Now())
		granted := make(chan *Reservation, 1)
		go func() {
			reservation, _ := router.Acquire(t.Context(), shared)
			granted <- reservation
		}()
		synctest.Wait()
		if queued := router.Status().Services[0].Queued; queued != 1 {
			t.Fatalf("%d requests queued, want 1 that waits for the replica with its prefix", queued)
		}
		if reservation := mustReserve(t, router, shared); reservation.Replica != other {
			t.Fatalf("Reserve chose %s, which is full", reservation.Replica)
		}
		holders[0].Finish(ResultSuccess, nil, time.Now())
		if reservation := <-granted; reservation.Replica != holder {
			t.Fatalf("the waiting request was placed at %s, which does not have its prefix cached", reservation.Replica)
		}
	})
}
