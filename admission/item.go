package admission

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// Rejection is the reason why a queue rejects an item.
type Rejection uint8

const (
	// Admitted means that the item was not rejected.
	Admitted Rejection = iota
	// RejectedFull means that the queue is full and that no other tenant of the class has a
	// larger backlog for its weight.
	RejectedFull
	// RejectedDeadline means that the item cannot meet its deadline.
	RejectedDeadline
)

const (
	// minWeight is the lowest weight of an item.
	minWeight = 0.001
	// minCost is the lowest cost of an item.
	minCost = 0.001
)

// Item is one waiting request.
type Item[T any] struct {
	// Tenant identifies the flow of the item. The queue is fair between flows.
	Tenant string
	// Class is the latency class. Each class is queued separately.
	Class api.Class
	// Weight is the tenant's share relative to that of others. Lower values than 0.001 are
	// raised to it.
	Weight float64
	// Cost is the expected work, in any unit that is the same for all items.
	Cost float64
	// Deadline is the latest time for the first token.
	Deadline time.Time
	// ExpectedFirstToken is the expected time to the first token after the item starts.
	ExpectedFirstToken time.Duration
	// Payload is not used by the queue.
	Payload T

	virtualStart  float64
	virtualFinish float64
	queued        bool
}

// missesDeadline reports whether an item that starts after the given wait would get its
// first token after its deadline.
func (i *Item[T]) missesDeadline(now time.Time, wait time.Duration) bool {
	return now.Add(wait + i.ExpectedFirstToken).After(i.Deadline)
}
