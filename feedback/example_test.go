package feedback_test

import (
	"fmt"
	"math"
	"time"

	"github.com/deckpulley/deckpulley/feedback"
)

// The controller adjusts the fraction of the work that is spilled to other regions
// until the load of the region is at its set point.
func Example() {
	controller := feedback.New(feedback.Config{
		Name: "utilization", SetPoint: 0.8, Proportional: 0.25, Integral: 0.35, Reverse: true, Maximum: 0.9,
	})
	offered := 1.2 // offered load as a multiple of the region's capacity
	now := time.Unix(0, 0)
	for range 600 {
		controller.Update(now, offered*(1-controller.Output()))
		now = now.Add(100 * time.Millisecond)
	}
	status := controller.Status()
	fmt.Println(math.Abs(status.Measured-status.SetPoint) < 0.01, math.Abs(status.Output-1.0/3) < 0.01)
	// Output: true true
}
