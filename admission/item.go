package admission

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// Rejection is the reason why the queue does not accept an item.
type Rejection uint8

const (
	// Admitted means that the item was not rejected.
	Admitted Rejection = iota
	// RejectedFull means that the queue is full and the tenant has its share of it.
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
	// Tenant is the flow between which the queue is fair.
	Tenant string
	// Class is the latency class, which has a queue of its own.
	Class api.Class
	// Weight is the tenant's share relative to others; at least a thousandth.
	Weight float64
	// Cost is the expected work, in any unit that all items share.
	Cost float64
	// Deadline is when the first token is due.
	Deadline time.Time
	// ExpectedFirstToken is the expected time from the start to the first token.
	ExpectedFirstToken time.Duration
	// Payload belongs to the caller.
	Payload T

	virtualStart  float64
	virtualFinish float64
	queued        bool
}

// missesDeadline reports whether an item that starts after wait would have its
// first token too late.
func (i *Item[T]) missesDeadline(now time.Time, wait time.Duration) bool {
	return now.Add(wait + i.ExpectedFirstToken).After(i.Deadline)
}
