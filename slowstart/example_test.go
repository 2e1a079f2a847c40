package slowstart_test

import (
	"fmt"

	"github.com/deckpulley/deckpulley/slowstart"
)

// A cold replica is given one request more after a round of successes.
func Example() {
	cold := slowstart.New(slowstart.Additive, 1, 8)
	for range 3 {
		fmt.Print(cold.Limit(), " ")
		for range cold.Limit() {
			cold.RecordSuccess()
		}
	}
	cold.RecordFailure()
	fmt.Println(cold.Limit(), cold.Done())
	// Output: 1 2 3 2 false
}
