package ramp_test

import (
	"fmt"

	"github.com/deckpulley/deckpulley/ramp"
)

// A cold replica is given one request more after a round of successes.
func Example() {
	cold := ramp.New(ramp.Additive, 1, 8)
	for range 3 {
		fmt.Print(cold.Limit(), " ")
		for range cold.Limit() {
			cold.Success()
		}
	}
	cold.Failure()
	fmt.Println(cold.Limit(), cold.Done())
	// Output: 1 2 3 2 false
}
