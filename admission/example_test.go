package admission_test

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/admission"
	"github.com/deckpulley/deckpulley/api"
)

// A request that cannot make its time is refused when it comes, not when it is late.
func Example() {
	now := time.Unix(0, 0)
	queue := admission.NewQueue[string](2)
	offer := func(name string, patience time.Duration) admission.Rejection {
		item := &admission.Item[string]{Tenant: "t", Class: api.ClassQuick, Weight: 1, Cost: 1, Deadline: now.Add(patience), ExpectedFirstToken: 500 * time.Millisecond, Payload: name}
		_, refusal := queue.Enqueue(now, item, 1)
		return refusal
	}
	fmt.Println(offer("a", time.Minute) == admission.Admitted)
	fmt.Println(offer("b", 100*time.Millisecond) == admission.RejectedDeadline)
	fmt.Println(offer("c", time.Minute) == admission.Admitted)
	fmt.Println(offer("d", time.Minute) == admission.RejectedFull)
	fmt.Println(queue.Dequeue(func(*admission.Item[string]) bool { return true }).Payload)
	// Output:
	// true
	// true
	// true
	// true
	// a
}
