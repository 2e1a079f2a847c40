package admission

import (
	"slices"

	"github.com/deckpulley/deckpulley/api"
)

// Indexes of the latency classes in Queue.classes. Of two classes with the same pass value,
// the one with the lower index is served first.
const (
	quickIndex = iota
	fetchIndex
	longIndex
	classCount
)

// classIndex returns the index of a class in Queue.classes.
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

// classWeight returns the weight of a class. Classes that have waiting items start them in
// proportion to their weights.
func classWeight(index int) float64 {
	if index == longIndex {
		return 1
	}
	return 3
}

// classQueue is the queue of one latency class, which is fair between tenants. It orders
// items by their virtual start time (start-time fair queueing).
type classQueue[T any] struct {
	items       []*Item[T]       // by virtualStart
	flows       map[string]*flow // by tenant
	virtualTime float64          // highest virtualStart of an item that was dequeued
	pass        float64          // pass value of the class in stride scheduling between classes
}

// flow is the state of one tenant in a class.
type flow struct {
	virtualFinish float64 // of the tenant's newest item
	backlog       int     // number of waiting items
	weight        float64 // of the tenant's newest item
}

// tag sets the virtual start and finish times of an arriving item.
func (c *classQueue[T]) tag(item *Item[T]) {
	item.virtualStart = c.virtualTime
	if flow := c.flows[item.Tenant]; flow != nil {
		item.virtualStart = max(c.virtualTime, flow.virtualFinish)
	}
	item.virtualFinish = item.virtualStart + max(item.Cost, minCost)/item.Weight
}

// position returns the number of waiting items that start before a tagged item.
func (c *classQueue[T]) position(item *Item[T]) int {
	count := 0
	for _, other := range c.items {
		if other.virtualStart <= item.virtualStart {
			count++
		}
	}
	return count
}

// insert adds a tagged item after those with the same virtual start time.
func (c *classQueue[T]) insert(item *Item[T]) {
	position, _ := slices.BinarySearchFunc(c.items, item, func(element, target *Item[T]) int {
		if element.virtualStart <= target.virtualStart {
			return -1
		}
		return 1
	})
	c.items = slices.Insert(c.items, position, item)
	itemFlow := c.flows[item.Tenant]
	if itemFlow == nil {
		itemFlow = &flow{}
		c.flows[item.Tenant] = itemFlow
	}
	itemFlow.virtualFinish = item.virtualFinish
	itemFlow.weight = item.Weight
	itemFlow.backlog++
	item.queued = true
}

// remove removes an item. If refund is set and the item is its tenant's newest, the tenant
// is not charged for it. When the queue becomes empty, its virtual time and all flows are
// reset.
func (c *classQueue[T]) remove(item *Item[T], refund bool) {
	position := slices.Index(c.items, item)
	c.items = slices.Delete(c.items, position, position+1)
	item.queued = false
	flow := c.flows[item.Tenant]
	flow.backlog--
	if refund && flow.virtualFinish == item.virtualFinish {
		flow.virtualFinish = item.virtualStart
	}
	if flow.backlog == 0 && flow.virtualFinish <= c.virtualTime {
		delete(c.flows, item.Tenant)
	}
	if len(c.items) == 0 {
		c.virtualTime = 0
		clear(c.flows)
	}
}

// displaceable returns the item that may be removed in favor of an arriving one: the newest
// item of the tenant with the largest ratio of backlog to weight. It returns nil unless this
// ratio is larger than that of the arriving item's tenant including the arriving item.
func (c *classQueue[T]) displaceable(arriving *Item[T]) *Item[T] {
	ownBacklog := 1.0
	if flow := c.flows[arriving.Tenant]; flow != nil {
		ownBacklog += float64(flow.backlog)
	}
	largest := ownBacklog / arriving.Weight
	var displaced *Item[T]
	for _, item := range c.items {
		flow := c.flows[item.Tenant]
		if item.Tenant == arriving.Tenant {
			continue
		}
		share := float64(flow.backlog) / flow.weight
		if share > largest || (displaced != nil && displaced.Tenant == item.Tenant) {
			largest = share
			displaced = item
		}
	}
	return displaced
}
