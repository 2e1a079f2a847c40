package routing

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
)

// TestReservationStaysUnusable asks twice whether a reservation may be used whose request a
// new plan has bound to another region: the second answer is the first.
func TestReservationStaysUnusable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.replica("r1", "east-a", "east")
		f.replica("r2", "west-a", "west")
		router := newRouter("east", "g1")
		router.SetPlan(f.plan())
		router.Observe("r1", report("r1"), time.Now())
		reservation := mustReserve(t, router, request("free"))
		f.set(catalog.RouteRecord("large-1", catalog.Route{Service: "large", Home: "west-only"}))
		router.SetPlan(f.planAfter(reservation.Serial))
		for incoming := range 2 {
			if reservation.Usable(time.Now()) {
				t.Fatalf("usable outside its home at question %d", incoming+1)
			}
		}
		reservation.Finish(ResultCanceled, nil, time.Now())
	})
}
