package retry_test

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/retry"
)

// Even if every request fails, there is at most one retry per ten first attempts.
func Example() {
	now := time.Unix(0, 0)
	budget := retry.NewBudget(0.1)
	retries := 0
	for range 100 {
		budget.RecordFirstAttempt(now)
		if budget.Allow(now) {
			retries++
		}
		now = now.Add(10 * time.Millisecond)
	}
	ratio, measured := budget.Status(now)
	fmt.Println(retries, ratio, measured)
	fmt.Println(retry.Backoff(1, 0), retry.Backoff(1, 0.5))
	// Output:
	// 10 0.1 0.1
	// 25ms 37.5ms
}
