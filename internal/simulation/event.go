package simulation

import (
	"container/heap"
	"time"
)

// event is a function that runs at one moment of virtual time.
type event struct {
	at time.Duration // since the start of the history
	// sequence numbers the events in the order in which they were scheduled.
	sequence uint64
	run      func()
}

// eventHeap orders events by time and, at equal times, by sequence, so that the order
// is deterministic.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(value any) {
	*h = append(*h, value.(event)) //nolint:forcetypeassert // heap.Push is called with events only
}

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// eventQueue holds the events that have not happened yet.
type eventQueue struct {
	events   eventHeap
	sequence uint64
}

// schedule adds an event that runs after the delay.
func (w *world) schedule(delay time.Duration, run func()) {
	w.queue.sequence++
	heap.Push(&w.queue.events, event{at: w.now + delay, sequence: w.queue.sequence, run: run})
}

// runUntil runs the events until the given time or the first violation, and then advances
// the virtual time to the given one.
func (w *world) runUntil(end time.Duration) {
	for len(w.queue.events) > 0 && !w.violated() {
		if w.queue.events[0].at > end {
			break
		}
		w.step()
	}
	w.now = max(w.now, end)
}

// runUntilRecovered runs events until the service has recovered. It records a violation of
// RuleProgress if the service has not recovered at the limit.
func (w *world) runUntilRecovered(limit time.Duration) {
	for !w.violated() && w.now < limit {
		if w.recovered() {
			return
		}
		w.runUntil(w.now + recoveryPollInterval)
	}
	if !w.violated() {
		w.recordViolation(RuleProgress, "%s", w.describeUnrecovered())
	}
}

// recoveryPollInterval is the virtual time between two checks for recovery.
const recoveryPollInterval = 100 * time.Millisecond

// step runs the next event.
func (w *world) step() {
	next := heap.Pop(&w.queue.events).(event) //nolint:forcetypeassert // the heap holds events only
	w.now = next.at
	w.result.Steps++
	next.run()
}
