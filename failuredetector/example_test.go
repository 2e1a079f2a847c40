package failuredetector_test

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/failuredetector"
)

// Silence raises the suspicion by degrees.
func Example() {
	now := time.Unix(0, 0)
	watch := failuredetector.New(failuredetector.DefaultConfig(), now)
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		watch.Heartbeat(now)
	}
	for _, silence := range []time.Duration{time.Second, 1500 * time.Millisecond, 3 * time.Second} {
		state := watch.State(now.Add(silence))
		fmt.Println(state == failuredetector.Alive, state == failuredetector.Suspected, state == failuredetector.Dead)
	}
	// Output:
	// true false false
	// false true false
	// false false true
}
