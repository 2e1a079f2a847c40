package failuredetector_test

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/failuredetector"
)

// The suspicion increases with the time since the last heartbeat.
func Example() {
	now := time.Unix(0, 0)
	detector := failuredetector.New(failuredetector.DefaultConfig(), now)
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		detector.Heartbeat(now)
	}
	for _, elapsed := range []time.Duration{time.Second, 1500 * time.Millisecond, 3 * time.Second} {
		state := detector.State(now.Add(elapsed))
		fmt.Println(state == failuredetector.Alive, state == failuredetector.Suspected, state == failuredetector.Dead)
	}
	// Output:
	// true false false
	// false true false
	// false false true
}
