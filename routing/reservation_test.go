package routing

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
)

// TestReservationStaysUnusable checks that a reservation whose request a new plan restricts
// to another region is not usable, and that a second call of Usable reports the same.
func TestReservationStaysUnusable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.replica("r1", "east-a", "east")
		f.replica("r2", "west-a", "west")
		router := newRouter("east", "g1")
		router.SetPlan(f.plan())
		router.RecordReport("r1", report("r1"), time.Now())
		reservation := mustReserve(t, router, request("free"))
		f.set(catalog.RouteRecord("large-1", catalog.Route{Service: "large", Home: "west-only"}))
		router.SetPlan(f.planAfter(reservation.Serial))
		for call := range 2 {
			if reservation.Usable(time.Now()) {
				t.Fatalf("call %d of Usable: the reservation is usable outside the home regions of its request", call+1)
			}
		}
		reservation.Finish(ResultCanceled, nil, time.Now())
	})
}
