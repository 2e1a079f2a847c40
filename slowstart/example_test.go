package slowstart_test

import (
	"fmt"

	"github.com/deckpulley/deckpulley/slowstart"
)

// The limit of a replica that is warming up increases by one after as many successes
// as the current limit.
func Example() {
	limiter := slowstart.New(slowstart.Additive, 1, 8)
	for range 3 {
		fmt.Print(limiter.Limit(), " ")
		for range limiter.Limit() {
			limiter.RecordSuccess()
		}
	}
	limiter.RecordFailure()
	fmt.Println(limiter.Limit(), limiter.Done())
	// Output: 1 2 3 2 false
}
