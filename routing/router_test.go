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

// nothingNew lists the reasons why a replica gets nothing new, and their ends.
var nothingNew = []struct {
	name  string
	begin func(f *fleet, r *Router)
	end   func(f *fleet, r *Router)
}{
	{
		name: "report says draining",
		begin: func(_ *fleet, r *Router) {
			reported := report("r1")
			reported.Draining, reported.Sequence = true, 2
			r.Observe("r1", reported, time.Now())
		},
		end: func(_ *fleet, r *Router) {
			reported := report("r1")
			reported.Sequence = 3
			r.Observe("r1", reported, time.Now())
		},
	},
	{
		name:  "platform drains",
		begin: func(f *fleet, _ *Router) { f.set(catalog.DrainRecord("r1", catalog.Drain{})) },
		end:   func(f *fleet, _ *Router) { f.remove(catalog.ReplicaName("r1"), catalog.TypeDrain) },
	},
	{
		name:  "condition draining",
		begin: func(f *fleet, _ *Router) { f.condition(catalog.ConditionDraining, "") },
		end:   func(f *fleet, _ *Router) { f.condition(catalog.ConditionUp, "") },
	},
	{
		name:  "condition down",
		begin: func(f *fleet, _ *Router) { f.condition(catalog.ConditionDown, "") },
		end:   func(f *fleet, _ *Router) { f.condition(catalog.ConditionUp, "") },
	},
	{
		name: "zone evacuated",
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
		end:   func(_ *fleet, r *Router) { r.Observe("r1", report("r1"), time.Now()) },
	},
	{
		name:  "connection broke",
		begin: func(_ *fleet, r *Router) { r.Suspect("r1", report("r1").Incarnation, time.Now()) },
		end:   func(_ *fleet, r *Router) { r.Observe("r1", report("r1"), time.Now()) },
	},
	{
		name: "replica has seen a newer configuration",
		begin: func(_ *fleet, r *Router) {
			reported := report("r1")
			reported.ConfigurationVersion, reported.Sequence = 2, 2
			r.Observe("r1", reported, time.Now())
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
			r.Observe("r1", reported, time.Now())
		},
		end: func(f *fleet, _ *Router) {
			f.set(catalog.ConditionRecord("r1", catalog.Condition{
				State: catalog.ConditionWarmingUp, Incarnation: "r1-2", WarmupGateway: "g1",
			}))
		},
	},
	{
		name:  "unresponsive",
		begin: func(_ *fleet, _ *Router) { time.Sleep(1500 * time.Millisecond) },
		end:   func(_ *fleet, r *Router) { r.Observe("r1", report("r1"), time.Now()) },
	},
}

// TestSuspicionOfPredecessor breaks a connection to an incarnation after the next
// one has reported: that one goes on.
func TestSuspicionOfPredecessor(t *testing.T) {
	_, router := oneReplica(t)
	early := mustReserve(t, router, request("early"))
	next := report("r1")
	next.Incarnation = "r1-2"
	router.Observe("r1", next, time.Now())
	if router.Suspect("r1", early.Incarnation, time.Now()) {
		t.Error("the successor is suspected for its predecessor")
	}
	early.Finish(ResultFailed, nil, time.Now())
	if late := mustReserve(t, router, request("late")); late.Incarnation != "r1-2" {
		t.Errorf("placed on incarnation %q", late.Incarnation)
	}
}

// TestUnusableReplicas goes through every reason why a replica gets nothing new, each
// alone, and sees it return once the reason is gone.
func TestUnusableReplicas(t *testing.T) {
	for _, c := range nothingNew {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, router := oneReplica(t)
				early := mustReserve(t, router, request("early"))
				c.begin(f, router)
				router.SetPlan(f.plan())
				wantRejected(t, router, request("during"), api.CodeNoCapacity)
				if early.Usable(time.Now()) {
					t.Fatal("a reservation granted before is still usable")
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

// TestQueuedRequestsAreReadmitted lets requests wait and takes their replica
// away by a new plan: each gets its rejection at once, not at its deadline.
func TestQueuedRequestsAreReadmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, router := oneReplica(t)
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
				t.Fatalf("got %v, want no_capacity with a time to come back", failure)
			}
		}
		if waited := time.Since(start); waited > 0 {
			t.Fatalf("rejection held back for %v", waited)
		}
	})
}

// TestAcquire checks the waiting: a grant when a reservation is finished, the
// rejection when no replica is left usable, and a caller that goes away.
func TestAcquire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, router := oneReplica(t)
		held := mustReserve(t, router, request("holder"))
		ctx, cancel := context.WithCancel(t.Context())
		gone := make(chan *api.Error, 1)
		go func() {
			_, failure := router.Acquire(ctx, request("goes away"))
			gone <- failure
		}()
		synctest.Wait()
		cancel()
		if failure := <-gone; failure == nil || failure.Code != api.CodeCanceled {
			t.Fatalf("canceled: %v", failure)
		}
		granted := make(chan *Reservation, 1)
		go func() {
			reservation, failure := router.Acquire(t.Context(), request("waits"))
			if failure != nil {
				t.Errorf("waits: %v", failure)
			}
			granted <- reservation
		}()
		synctest.Wait()
		held.Finish(ResultSuccess, nil, time.Now())
		held.Finish(ResultSuccess, nil, time.Now())
		reservation := <-granted
		if got := router.Status().Services[0]; got.InFlight != 1 || got.Queued != 0 {
			t.Fatalf("status %+v, want 1 in flight", got)
		}
		reservation.Finish(ResultSuccess, nil, time.Now())
		time.Sleep(1400 * time.Millisecond) // the replica falls unresponsive
		start := time.Now()
		_, failure := router.Acquire(t.Context(), request("late"))
		if failure == nil || failure.Code != api.CodeNoCapacity {
			t.Fatalf("no usable replica: %v", failure)
		}
		if waited := time.Since(start); waited > unusableWait+tickInterval {
			t.Fatalf("waited %v for a replica", waited)
		}
	})
}

// TestHomeRules checks that a home binds from whatever rule it comes, under the
// plan of the moment.
func TestHomeRules(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.replica("r1", "east-a", "east")
		f.replica("r2", "west-a", "west")
		router := newRouter("east", "g1")
		router.SetPlan(f.plan())
		router.Observe("r1", report("r1"), time.Now())
		resolve := func(generate api.GenerateRequest) Request {
			generate.RequestID, generate.Model = "q", "large-1"
			resolved, failure := router.Resolve(generate, time.Now())
			if failure != nil {
				t.Fatalf("resolve: %v", failure)
			}
			return resolved
		}
		free := resolve(api.GenerateRequest{})
		if got := router.Regions(free); len(got) != 2 || got[0] != "east" {
			t.Fatalf("free: %v", got)
		}
		if got := router.Regions(resolve(api.GenerateRequest{Client: "westerners"})); got[0] != "west" {
			t.Fatalf("client mapping: %v", got)
		}
		if got := router.Regions(resolve(api.GenerateRequest{Tenant: "bound", Client: "westerners"})); len(got) != 1 || got[0] != "east" {
			t.Fatalf("bound tenant: %v", got)
		}
		west := resolve(api.GenerateRequest{Home: "west-only"})
		wantRejected(t, router, west, api.CodeHomeUnavailable)
		_, failure := router.Resolve(api.GenerateRequest{Model: "large-1", Tenant: "bound", Home: "west-only"}, time.Now())
		if failure == nil || failure.Code != api.CodeHomeUnavailable {
			t.Fatalf("homes without a common region: %v", failure)
		}
		// A new plan binds the route: the free request from before is bound too.
		f.set(catalog.RouteRecord("large-1", catalog.Route{Service: "large", Home: "west-only"}))
		router.SetPlan(f.plan())
		if got := router.Regions(free); len(got) != 1 || got[0] != "west" {
			t.Fatalf("bound by the new plan: %v", got)
		}
		wantRejected(t, router, free, api.CodeHomeUnavailable)
		f.set(catalog.EvacuationRecord("west-a", catalog.Evacuation{OperationID: "o"}))
		router.SetPlan(f.plan())
		if got := router.Regions(free); len(got) != 0 {
			t.Fatalf("home evacuated: %v", got)
		}
		if rejected := router.Rejection(free); rejected.Code != api.CodeHomeUnavailable {
			t.Fatalf("rejection: %v", rejected)
		}
	})
}

// TestLongRequestsLeaveCapacity fills a replica with long requests: a quick one still finds
// room, also when another gateway has most of the slots.
func TestLongRequestsLeaveCapacity(t *testing.T) {
	for others := range 4 {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			f.replica("r1", "east-a", "east")
			router := newRouter("east", "g1")
			router.SetPlan(f.plan())
			for sequence := range uint64(4) { // passes the slow start
				reported := report("r1")
				reported.Sequence = sequence + 1
				router.Observe("r1", reported, time.Now())
				mustReserve(t, router, request("warms")).Finish(ResultSuccess, nil, time.Now())
			}
			reported := report("r1")
			reported.Sequence, reported.Running = 9, others
			router.Observe("r1", reported, time.Now())
			granted := 0
			for range 8 {
				long := request("long")
				long.Class = api.ClassLong
				if _, failure := router.Reserve(long); failure == nil {
					granted++
				}
			}
			if granted != 3 && others == 0 || granted >= 4 || granted == 0 {
				t.Fatalf("%d long requests beside %d others on four slots", granted, others)
			}
			mustReserve(t, router, request("quick"))
		})
	}
}

// TestAllReplicasExcluded asks for another attempt when every usable replica was
// tried: the rejection comes at once.
func TestAllReplicasExcluded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, router := oneReplica(t)
		again := request("again")
		again.ExcludedReplicas = map[string]bool{"r1": true}
		start := time.Now()
		if _, failure := router.Acquire(t.Context(), again); failure == nil || failure.Code != api.CodeNoCapacity {
			t.Fatalf("got %v", failure)
		}
		if waited := time.Since(start); waited > 0 {
			t.Fatalf("rejected after %v", waited)
		}
	})
}

// TestWaitsForCachedPrefix fills the replica that holds a prefix while the other is
// busy with room: a request for the prefix waits for the holder, one that may
// not wait takes the other.
func TestWaitsForCachedPrefix(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.replica("r1", "east-a", "east")
		f.replica("r2", "east-a", "east")
		router := newRouter("east", "g1")
		router.SetPlan(f.plan())
		for sequence := range uint64(8) { // passes the slow start
			for _, name := range []string{"r1", "r2"} {
				reported := report(name)
				reported.Sequence = sequence + 1
				router.Observe(name, reported, time.Now())
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
				t.Fatalf("the prefix went to %s and %s", holder, reservation.Replica)
			}
		}
		reported := report(other)
		reported.Sequence, reported.Running = 20, 3
		router.Observe(other, reported, time.Now())
		granted := make(chan *Reservation, 1)
		go func() {
			reservation, _ := router.Acquire(t.Context(), shared)
			granted <- reservation
		}()
		synctest.Wait()
		if queued := router.Status().Services[0].Queued; queued != 1 {
			t.Fatalf("%d queued, want the request to wait", queued)
		}
		if reservation := mustReserve(t, router, shared); reservation.Replica != other {
			t.Fatalf("reserved on the full %s", reservation.Replica)
		}
		holders[0].Finish(ResultSuccess, nil, time.Now())
		if reservation := <-granted; reservation.Replica != holder {
			t.Fatalf("granted on %s, want the holder", reservation.Replica)
		}
	})
}
