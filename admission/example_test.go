package admission_test

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/admission"
	"github.com/deckpulley/deckpulley/api"
)

// A request that cannot meet its deadline is rejected when it arrives, not when its deadline
// has passed.
func Example() {
	now := time.Unix(0, 0)
	queue := admission.NewQueue[string](2)
	enqueue := func(name string, timeout time.Duration) admission.Rejection {
		item := &admission.Item[string]{Tenant: "t", Class: api.ClassQuick, Weight: 1, Cost: 1, Deadline: now.Add(timeout), ExpectedFirstToken: 500 * time.Millisecond, Payload: name}
		_, rejection := queue.Enqueue(now, item, 1)
		return rejection
	}
	fmt.Println(enqueue("a", time.Minute) == admission.Admitted)
	fmt.Println(enqueue("b", 100*time.Millisecond) == admission.RejectedDeadline)
	fmt.Println(enqueue("c", time.Minute) == admission.Admitted)
	fmt.Println(enqueue("d", time.Minute) == admission.RejectedFull)
	fmt.Println(queue.Dequeue(func(*admission.Item[string]) bool { return true }).Payload)
	// Output:
	// true
	// true
	// true
	// true
	// a
}
