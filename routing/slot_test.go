package routing

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
)

// TestSlotStaysUnusable asks twice whether a slot may be used whose request a
// new plan has bound to another region: the second answer is the first.
func TestSlotStaysUnusable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.replica("r1", "east-a", "east")
		f.replica("r2", "west-a", "west")
		router := newRouter("east", "g1")
		router.SetPlan(f.plan())
		router.Observe("r1", report("r1"), time.Now())
		slot := mustReserve(t, router, request("free"))
		f.set(catalog.RouteRecord("large-1", catalog.Route{Service: "large", Home: "west-only"}))
		router.SetPlan(f.planAfter(slot.Serial))
		for asked := range 2 {
			if slot.Usable(time.Now()) {
				t.Fatalf("usable outside its home at question %d", asked+1)
			}
		}
		slot.Finish(ResultCanceled, nil, time.Now())
	})
}
