package admission

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

const (
	// longFraction is the fraction of the queue's length that long requests may use.
	longFraction = 0.75
	// MinRetryAfter is the lowest delay that RetryAfter returns.
	MinRetryAfter = 100 * time.Millisecond
	// MaxRetryAfter is the highest delay that RetryAfter returns.
	MaxRetryAfter = 10 * time.Second
	// unknownRetryAfter is the delay that RetryAfter returns if the rate is unknown.
	unknownRetryAfter = time.Second
	// maxPassLag is the largest difference by which the pass value of a class may be behind
	// that of another.
	maxPassLag = 2
)

// Queue is the bounded queue of one service. It has a queue for each latency class, which
// is fair between tenants, and chooses between the classes by stride scheduling: starting an
// item advances the class's pass value by the inverse of its weight, and the class with the
// lowest pass value is next. It is not safe for concurrent use.
type Queue[T any] struct {
	length        int
	standingLimit int // 0 means no limit
	classes       [classCount]classQueue[T]
}

// NewQueue returns an empty queue that holds at most length items.
func NewQueue[T any](length int) *Queue[T] {
	queue := &Queue[T]{length: max(1, length)}
	for index := range queue.classes {
		queue.classes[index].flows = make(map[string]*flow)
	}
	return queue
}

// SetLength changes the maximum number of items. Items beyond it stay in the queue.
func (q *Queue[T]) SetLength(length int) {
	q.length = max(1, length)
}

// SetStandingQueueLimit sets a limit for the items of each class except the long one, in
// addition to the length of the queue; 0 removes it. It is meant for a standing queue, which
// does not become empty: a longer one would only make each request wait longer. Items
// beyond the limit stay in the queue.
func (q *Queue[T]) SetStandingQueueLimit(length int) {
	q.standingLimit = max(0, length)
}

// StandingQueueLimit returns the limit that SetStandingQueueLimit has set, 0 if none.
func (q *Queue[T]) StandingQueueLimit() int {
	return q.standingLimit
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int {
	total := 0
	for index := range q.classes {
		total += len(q.classes[index].items)
	}
	return total
}

// ClassLen returns the number of waiting items of a class.
func (q *Queue[T]) ClassLen(class api.Class) int {
	return len(q.classes[classIndex(class)].items)
}

// Enqueue adds an item or rejects it. The rate is the number of completions per second of
// the service, 0 if unknown. If the queue is full and another tenant of the class has a
// larger backlog for its weight, the newest item of that tenant is removed and returned as
// displaced. The caller must then reject the displaced item.
func (q *Queue[T]) Enqueue(now time.Time, item *Item[T], rate float64) (displaced *Item[T], rejection Rejection) {
	class := &q.classes[classIndex(item.Class)]
	item.Weight = max(item.Weight, minWeight)
	class.tag(item)
	wait := q.wait(class.position(item), item.Class, rate)
	if item.missesDeadline(now, wait) {
		return nil, RejectedDeadline
	}
	if q.full(item.Class) {
		displaced = class.displaceable(item)
		if displaced == nil {
			return nil, RejectedFull
		}
		q.Remove(displaced)
		class.tag(item) // the removal may have reset the virtual time of the class
	}
	if len(class.items) == 0 {
		class.pass = q.passOnReturn(class)
	}
	class.insert(item)
	return displaced, Admitted
}

// Dequeue calls accept with the waiting items in fair order. It removes and returns the
// first one that is accepted, or nil if there is none.
func (q *Queue[T]) Dequeue(accept func(*Item[T]) bool) *Item[T] {
	for _, index := range q.classOrder() {
		class := &q.classes[index]
		for _, item := range class.items {
			if !accept(item) {
				continue
			}
			class.virtualTime = max(class.virtualTime, item.virtualStart)
			q.advancePass(index)
			class.remove(item, false)
			return item
		}
	}
	return nil
}

// Remove removes an item that is not to be started, for example because its request was
// canceled. It reports whether the item was waiting.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if item == nil || !item.queued {
		return false
	}
	q.classes[classIndex(item.Class)].remove(item, true)
	return true
}

// RemoveExpired removes and returns the items that can no longer meet their deadline. The
// rate has the same meaning as for Enqueue.
func (q *Queue[T]) RemoveExpired(now time.Time, rate float64) []*Item[T] {
	var expired []*Item[T]
	for index := range q.classes {
		class := &q.classes[index]
		position := 0
		for _, item := range slices.Clone(class.items) {
			wait := q.wait(position, item.Class, rate)
			if item.missesDeadline(now, wait) {
				q.Remove(item)
				expired = append(expired, item)
				continue
			}
			position++
		}
	}
	return expired
}

// Items returns the waiting items grouped by class, in the order in which each class starts
// them.
func (q *Queue[T]) Items() []*Item[T] {
	all := make([]*Item[T], 0, q.Len())
	for index := range q.classes {
		all = append(all, q.classes[index].items...)
	}
	return all
}

// Drain removes and returns all waiting items.
func (q *Queue[T]) Drain() []*Item[T] {
	all := q.Items()
	for _, item := range all {
		q.Remove(item)
	}
	return all
}

// RetryAfter estimates how long it takes until the queue has a place for a new request. The
// rate has the same meaning as for Enqueue.
func (q *Queue[T]) RetryAfter(rate float64) time.Duration {
	if rate <= 0 {
		return unknownRetryAfter
	}
	seconds := float64(q.Len()+1) / rate
	estimate := time.Duration(min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second))
	return max(estimate, MinRetryAfter)
}

// wait estimates the time until the item at a position of its class starts, 0 if the rate
// is unknown. It assumes that the classes with waiting items share the rate in proportion
// to their weights.
func (q *Queue[T]) wait(position int, class api.Class, rate float64) time.Duration {
	if rate <= 0 || position == 0 {
		return 0
	}
	ownIndex := classIndex(class)
	own := classWeight(ownIndex)
	total := own
	for index := range q.classes {
		if index != ownIndex && len(q.classes[index].items) > 0 {
			total += classWeight(index)
		}
	}
	seconds := float64(position) / (rate * own / total)
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
}

// full reports whether the queue has no place for another item of a class.
func (q *Queue[T]) full(class api.Class) bool {
	if q.Len() >= q.length {
		return true
	}
	if class == api.ClassLong {
		return q.ClassLen(class) >= max(1, int(longFraction*float64(q.length)))
	}
	return q.standingLimit > 0 && q.ClassLen(class) >= q.standingLimit
}

// classOrder returns the indexes of the classes that have waiting items, ordered by their
// pass values.
func (q *Queue[T]) classOrder() []int {
	order := make([]int, 0, len(q.classes))
	for index := range q.classes {
		if len(q.classes[index].items) > 0 {
			order = append(order, index)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case q.classes[a].pass < q.classes[b].pass:
			return -1
		case q.classes[a].pass > q.classes[b].pass:
			return 1
		default:
			return a - b
		}
	})
	return order
}

// passOnReturn returns the pass value of a class that was empty and gets an item: its
// previous one, but at least the lowest of the other classes with items, so that the class
// has no credit for the time in which it was empty. If all classes are empty, the pass
// values start from 0 again.
func (q *Queue[T]) passOnReturn(returning *classQueue[T]) float64 {
	lowest := -1.0
	for index := range q.classes {
		class := &q.classes[index]
		if len(class.items) > 0 && (lowest < 0 || class.pass < lowest) {
			lowest = class.pass
		}
	}
	if lowest < 0 {
		return 0
	}
	return max(returning.pass, lowest)
}

// advancePass advances the pass value of a class that starts an item, and raises those of
// the other classes to at most maxPassLag behind it. Otherwise a class whose items could not
// start for a while would afterwards get all starts until it has caught up.
func (q *Queue[T]) advancePass(index int) {
	started := &q.classes[index]
	started.pass += 1 / classWeight(index)
	for other := range q.classes {
		q.classes[other].pass = max(q.classes[other].pass, started.pass-maxPassLag)
	}
}
