package outlier_test

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/outlier"
)

// A replica that fails repeatedly is ejected for a while. A fraction of the group
// always stays in service.
func Example() {
	now := time.Unix(0, 0)
	config := outlier.DefaultConfig()
	group := outlier.NewGroup(config)
	group.SetMembers([]string{"r1", "r2", "r3", "r4"})
	for range config.ConsecutiveFailures {
		group.RecordFailure(now, "r1")
	}
	fmt.Println(group.EjectedCount(now), group.EjectedUntil("r1").Sub(now) == config.BaseEjectionTime)
	for _, name := range []string{"r2", "r3", "r4"} {
		for range config.ConsecutiveFailures {
			group.RecordFailure(now, name)
		}
	}
	fmt.Println(group.EjectedCount(now) == group.MaxEjected(), group.MaxEjected() < 4)
	// Output:
	// 1 true
	// true true
}
