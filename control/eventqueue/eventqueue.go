// Package eventqueue hands functions to the one goroutine that owns a control
// node's state.
package eventqueue

import (
	"context"
	"errors"
	"time"
)

// capacity bounds the events that wait for the event loop.
const capacity = 4096

// ErrStopped is returned by requests to a node that has ended.
var ErrStopped = errors.New("control: node has stopped")

// Event runs on the event loop, with the time read after it was taken from the queue.
type Event func(now time.Duration)

// Queue is the queue of one event loop. Its methods are safe for concurrent use.
type Queue struct {
	events  chan Event
	started time.Time
	done    chan struct{}
}

// New returns an empty queue, and starts its clock.
func New() *Queue {
	return &Queue{
		events:  make(chan Event, capacity),
		started: time.Now(),
		done:    make(chan struct{}),
	}
}

// Now is the monotonic time since the queue was made.
func (q *Queue) Now() time.Duration { return time.Since(q.started) }

// Events is read by the event loop alone.
func (q *Queue) Events() <-chan Event { return q.events }

// Done is closed by Close.
func (q *Queue) Done() <-chan struct{} { return q.done }

// Close ends the queue, once, after its event loop has ended. Whoever waits for an
// answer gets ErrStopped.
func (q *Queue) Close() { close(q.done) }

// Post queues an event, waiting for capacity. It returns false if ctx or the queue
// ended first.
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

// Offer queues an event and returns true if there is capacity at once.
func (q *Queue) Offer(event Event) bool {
	select {
	case q.events <- event:
		return true
	default:
		return false
	}
}

// Ask runs a question on the event loop and waits for its answer. Its error is that
// of ctx, or ErrStopped.
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
