package admission

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// Rejection says why the queue does not take, or no longer keeps, an item.
type Rejection uint8

const (
	// Admitted is no refusal.
	Admitted Rejection = iota
	// RejectedFull means that the queue is full and the tenant has its share of it.
	RejectedFull
	// RejectedDeadline means that the item cannot make its time.
	RejectedDeadline
)

const (
	// longPart of the queue's length is open to long requests.
	longPart = 0.75
	// MinRetryAfter and LongestRetryAfter bound the estimate given to callers.
	MinRetryAfter = 100 * time.Millisecond
	MaxRetryAfter = 10 * time.Second
	// passLag bounds how far a class falls behind in virtual time.
	passLag = 2
	// unknownRetryAfter is given while no rate is known.
	unknownRetryAfter = time.Second
)

// Item is one waiting request.
type Item[T any] struct {
	// Tenant is the flow that shares are counted by.
	Tenant string
	// Class is the latency class, which has a queue of its own.
	Class api.Class
	// Weight is the tenant's share relative to others; at least a thousandth.
	Weight float64
	// Cost is the expected work, in any unit that all items share.
	Cost float64
	// Deadline is when the answer must have begun.
	Deadline time.Time
	// ExpectedFirstToken is the expected time from the start to the first token.
	ExpectedFirstToken time.Duration
	// Payload is the caller's.
	Payload T

	start  float64 // virtual start time
	finish float64
	queued bool
}

// Queue is the bounded queue of one service: one fair queue per latency class.
type Queue[T any] struct {
	length   int
	standing int // 0 is no bound of its own
	classes  [3]classQueue[T]
}

// classQueue orders its items by virtual start time (start-time fair queueing).
type classQueue[T any] struct {
	items   []*Item[T]
	flows   map[string]*flow
	virtual float64
	pass    float64 // virtual time of the class among the classes
}

type flow struct {
	finish  float64
	backlog int
	weight  float64
}

// NewQueue returns an empty queue that holds at most length items.
func NewQueue[T any](length int) *Queue[T] {
	queue := &Queue[T]{length: max(1, length)}
	for index := range queue.classes {
		queue.classes[index].flows = make(map[string]*flow)
	}
	return queue
}

// SetLength changes the bound; items beyond it stay until they leave.
func (q *Queue[T]) SetLength(length int) {
	q.length = max(1, length)
}

// SetStandingQueueLimit bounds what may wait in each class but the long one, below the
// whole length; 0 lifts the bound. It is meant for a queue that does not drain:
// a longer one then makes everybody wait and nobody be served sooner. Items
// beyond it stay until they leave.
func (q *Queue[T]) SetStandingQueueLimit(length int) {
	q.standing = max(0, length)
}

// StandingQueueLimit is the bound of SetStanding.
func (q *Queue[T]) StandingQueueLimit() int {
	return q.standing
}

// Len counts the waiting items.
func (q *Queue[T]) Len() int {
	total := 0
	for index := range q.classes {
		total += len(q.classes[index].items)
	}
	return total
}

// ClassLen counts the waiting items of a class.
func (q *Queue[T]) ClassLen(class api.Class) int {
	return len(q.classes[classIndex(class)].items)
}

// Enqueue asks for a place. The rate is the service's completions per second, 0
// for unknown. If the queue is full and another tenant holds more than its
// share, that tenant's newest item is returned as pushed out, to be refused.
func (q *Queue[T]) Enqueue(now time.Time, item *Item[T], rate float64) (pushedOut *Item[T], refusal Rejection) {
	class := &q.classes[classIndex(item.Class)]
	item.Weight = max(item.Weight, 0.001)
	class.tag(item)
	wait := q.wait(class.position(item), item.Class, rate)
	if now.Add(wait + item.ExpectedFirstToken).After(item.Deadline) {
		return nil, RejectedDeadline
	}
	if q.full(item.Class) {
		pushedOut = class.overdrawn(item)
		if pushedOut == nil {
			return nil, RejectedFull
		}
		q.Remove(pushedOut)
		class.tag(item)
	}
	q.insert(class, item)
	return pushedOut, Admitted
}

// Dequeue offers the waiting items in fair order to accept, and removes and
// returns the first that it accepts; nil if there is none.
func (q *Queue[T]) Dequeue(accept func(*Item[T]) bool) *Item[T] {
	for _, index := range q.order() {
		class := &q.classes[index]
		for _, item := range class.items {
			if !accept(item) {
				continue
			}
			class.virtual = max(class.virtual, item.start)
			q.advancePass(index)
			q.detach(class, item, false)
			return item
		}
	}
	return nil
}

// Remove takes an item out that is no longer wanted. It reports whether the
// item was waiting.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if item == nil || !item.queued {
		return false
	}
	q.detach(&q.classes[classIndex(item.Class)], item, true)
	return true
}

// RemoveExpired removes and returns the items that can no longer make their time.
func (q *Queue[T]) RemoveExpired(now time.Time, rate float64) []*Item[T] {
	var hopeless []*Item[T]
	for index := range q.classes {
		class := &q.classes[index]
		position := 0
		for _, item := range slices.Clone(class.items) {
			wait := q.wait(position, item.Class, rate)
			if now.Add(wait + item.ExpectedFirstToken).After(item.Deadline) {
				q.Remove(item)
				hopeless = append(hopeless, item)
				continue
			}
			position++
		}
	}
	return hopeless
}

// Items returns the waiting items.
func (q *Queue[T]) Items() []*Item[T] {
	all := make([]*Item[T], 0, q.Len())
	for index := range q.classes {
		all = append(all, q.classes[index].items...)
	}
	return all
}

// Drain removes and returns all items.
func (q *Queue[T]) Drain() []*Item[T] {
	all := q.Items()
	for _, item := range all {
		q.Remove(item)
	}
	return all
}

// RetryAfter estimates when a new request would find room.
func (q *Queue[T]) RetryAfter(rate float64) time.Duration {
	if rate <= 0 {
		return unknownRetryAfter
	}
	seconds := float64(q.Len()+1) / rate
	estimate := time.Duration(min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second))
	return max(estimate, MinRetryAfter)
}

// wait estimates the time until the item at a position of its class starts.
func (q *Queue[T]) wait(position int, class api.Class, rate float64) time.Duration {
	if rate <= 0 || position == 0 {
		return 0
	}
	own := classWeight(classIndex(class))
	total := own
	for index := range q.classes {
		if index != classIndex(class) && len(q.classes[index].items) > 0 {
			total += classWeight(index)
		}
	}
	seconds := float64(position) / (rate * own / total)
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
}

func (q *Queue[T]) full(class api.Class) bool {
	if q.Len() >= q.length {
		return true
	}
	if class == api.ClassLong {
		return q.ClassLen(class) >= max(1, int(longPart*float64(q.length)))
	}
	return q.standing > 0 && q.ClassLen(class) >= q.standing
}

// order lists the classes that have items by their virtual time.
func (q *Queue[T]) order() []int {
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

func (q *Queue[T]) insert(class *classQueue[T], item *Item[T]) {
	if len(class.items) == 0 {
		class.pass = q.passOnReturn(class)
	}
	place, _ := slices.BinarySearchFunc(class.items, item, func(element, target *Item[T]) int {
		if element.start <= target.start {
			return -1
		}
		return 1
	})
	class.items = slices.Insert(class.items, place, item)
	tenant := class.flows[item.Tenant]
	if tenant == nil {
		tenant = &flow{}
		class.flows[item.Tenant] = tenant
	}
	tenant.finish = item.finish
	tenant.weight = item.Weight
	tenant.backlog++
	item.queued = true
}

// passOnReturn is the virtual time of a class that has items again: no earlier
// than the others', so that it has no credit from before, and its own if it is
// ahead of them. An empty queue remembers nothing.
func (q *Queue[T]) passOnReturn(returning *classQueue[T]) float64 {
	least := -1.0
	for index := range q.classes {
		class := &q.classes[index]
		if len(class.items) > 0 && (least < 0 || class.pass < least) {
			least = class.pass
		}
	}
	if least < 0 {
		return 0
	}
	return max(returning.pass, least)
}

// advancePass counts a start of a class. The others fall at most passLag
// behind: a class that could not start for a while does not take all after.
func (q *Queue[T]) advancePass(index int) {
	started := &q.classes[index]
	started.pass += 1 / classWeight(index)
	for other := range q.classes {
		q.classes[other].pass = max(q.classes[other].pass, started.pass-passLag)
	}
}

func (q *Queue[T]) detach(class *classQueue[T], item *Item[T], giveBack bool) {
	place := slices.Index(class.items, item)
	class.items = slices.Delete(class.items, place, place+1)
	item.queued = false
	tenant := class.flows[item.Tenant]
	tenant.backlog--
	if giveBack && tenant.finish == item.finish {
		tenant.finish = item.start
	}
	if tenant.backlog == 0 && tenant.finish <= class.virtual {
		delete(class.flows, item.Tenant)
	}
	if len(class.items) == 0 {
		class.virtual = 0
		clear(class.flows)
	}
}

// tag gives an item its virtual times as if it arrived now.
func (c *classQueue[T]) tag(item *Item[T]) {
	item.start = c.virtual
	if tenant := c.flows[item.Tenant]; tenant != nil {
		item.start = max(c.virtual, tenant.finish)
	}
	item.finish = item.start + max(item.Cost, 0.001)/item.Weight
}

// position is the number of items that start before a tagged one.
func (c *classQueue[T]) position(item *Item[T]) int {
	count := 0
	for _, other := range c.items {
		if other.start <= item.start {
			count++
		}
	}
	return count
}

// overdrawn is the newest item of the tenant with the largest backlog for its
// weight, if that is larger than the newcomer's would be; else nil.
func (c *classQueue[T]) overdrawn(newcomer *Item[T]) *Item[T] {
	own := 1.0
	if tenant := c.flows[newcomer.Tenant]; tenant != nil {
		own += float64(tenant.backlog)
	}
	largest := own / newcomer.Weight
	var victim *Item[T]
	for _, item := range c.items {
		tenant := c.flows[item.Tenant]
		if item.Tenant == newcomer.Tenant {
			continue
		}
		share := float64(tenant.backlog) / tenant.weight
		if share > largest || (victim != nil && victim.Tenant == item.Tenant) {
			largest = share
			victim = item
		}
	}
	return victim
}

const (
	quickIndex = iota
	fetchIndex
	longIndex
)

func classIndex(class api.Class) int {
	switch class {
	case api.ClassLong:
		return longIndex
	case api.ClassFetch:
		return fetchIndex
	default:
		return quickIndex
	}
}

// classWeight is the share of starts that a class gets while others wait too.
func classWeight(index int) float64 {
	if index == longIndex {
		return 1
	}
	return 3
}
