// Package eventqueue passes functions to the event loop, the only goroutine that accesses
// a control node's state.
package eventqueue

import (
	"context"
	"errors"
	"time"
)

// capacity is the maximum number of queued events.
const capacity = 4096

// ErrStopped is returned by requests to a node that has stopped.
var ErrStopped = errors.New("control: node has stopped")

// Event is a function that runs on the event loop. now is the time at which it was taken
// from the queue.
type Event func(now time.Duration)

// Queue is the queue of one event loop. Its methods are safe for concurrent use.
type Queue struct {
	events  chan Event
	started time.Time
	done    chan struct{}
}

// New returns an empty queue whose clock starts at zero.
func New() *Queue {
	return &Queue{
		events:  make(chan Event, capacity),
		started: time.Now(),
		done:    make(chan struct{}),
	}
}

// Now returns the monotonic time since the queue was created.
func (q *Queue) Now() time.Duration { return time.Since(q.started) }

// Events returns the channel of queued events. Only the event loop may receive from it.
func (q *Queue) Events() <-chan Event { return q.events }

// Done returns a channel that is closed by Close.
func (q *Queue) Done() <-chan struct{} { return q.done }

// Close closes the queue. It must be called once, after the event loop has returned. Calls
// of Ask that wait for an answer return ErrStopped.
func (q *Queue) Close() { close(q.done) }

// Post queues an event, waiting while the queue is full. It returns false if ctx is done or
// the queue is closed before.
func (q *Queue) Post(ctx context.Context, event Event) bool {
	select {
	case q.events <- event:
		return true
	case <-ctx.Done():
		return false
	case <-q.done:
		return false
	}
}

// Offer queues an event without waiting. It returns false if the queue is full.
func (q *Queue) Offer(event Event) bool {
	select {
	case q.events <- event:
		return true
	default:
		return false
	}
}

// Ask runs a function on the event loop and returns its result. The error is that of ctx,
// or ErrStopped.
func Ask[Answer any](ctx context.Context, q *Queue, question func(now time.Duration) Answer) (Answer, error) {
	reply := make(chan Answer, 1)
	var none Answer
	if !q.Post(ctx, func(now time.Duration) { reply <- question(now) }) {
		return none, stoppedOr(ctx)
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-q.done:
		return none, ErrStopped
	}
}

func stoppedOr(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	return ErrStopped
}
