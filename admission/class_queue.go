package admission

import (
	"slices"

	"github.com/deckpulley/deckpulley/api"
)

// Indexes of the latency classes in Queue.classes. A lower one goes first among
// classes with the same virtual time.
const (
	quickIndex = iota
	fetchIndex
	longIndex
	classCount
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

// classWeight is the share of starts that a class gets while other classes have
// waiting items too, relative to their weights.
func classWeight(index int) float64 {
	if index == longIndex {
		return 1
	}
	return 3
}

// classQueue is the fair queue of one latency class. It orders items by their
// virtual start time (start-time fair queueing).
type classQueue[T any] struct {
	items       []*Item[T]       // by virtualStart
	flows       map[string]*flow // by tenant
	virtualTime float64          // highest virtualStart of an item that was dequeued
	pass        float64          // virtual time of the class among the classes
}

// flow is what a class keeps of one tenant.
type flow struct {
	virtualFinish float64 // of the tenant's last item
	backlog       int     // waiting items
	weight        float64
}

// tag sets the virtual times of an item that arrives now.
func (c *classQueue[T]) tag(item *Item[T]) {
	item.virtualStart = c.virtualTime
	if tenant := c.flows[item.Tenant]; tenant != nil {
		item.virtualStart = max(c.virtualTime, tenant.virtualFinish)
	}
	item.virtualFinish = item.virtualStart + max(item.Cost, minCost)/item.Weight
}

// position returns the number of items that start before a tagged one.
func (c *classQueue[T]) position(item *Item[T]) int {
	count := 0
	for _, other := range c.items {
		if other.virtualStart <= item.virtualStart {
			count++
		}
	}
	return count
}

// insert adds a tagged item, behind those with the same virtual start time.
func (c *classQueue[T]) insert(item *Item[T]) {
	position, _ := slices.BinarySearchFunc(c.items, item, func(element, target *Item[T]) int {
		if element.virtualStart <= target.virtualStart {
			return -1
		}
		return 1
	})
	c.items = slices.Insert(c.items, position, item)
	tenant := c.flows[item.Tenant]
	if tenant == nil {
		tenant = &flow{}
		c.flows[item.Tenant] = tenant
	}
	tenant.virtualFinish = item.virtualFinish
	tenant.weight = item.Weight
	tenant.backlog++
	item.queued = true
}

// remove removes an item. With refund its tenant is not charged for it, if it is
// the tenant's last one. An empty queue keeps no history.
func (c *classQueue[T]) remove(item *Item[T], refund bool) {
	position := slices.Index(c.items, item)
	c.items = slices.Delete(c.items, position, position+1)
	item.queued = false
	tenant := c.flows[item.Tenant]
	tenant.backlog--
	if refund && tenant.virtualFinish == item.virtualFinish {
		tenant.virtualFinish = item.virtualStart
	}
	if tenant.backlog == 0 && tenant.virtualFinish <= c.virtualTime {
		delete(c.flows, item.Tenant)
	}
	if len(c.items) == 0 {
		c.virtualTime = 0
		clear(c.flows)
	}
}

// displaceable returns the newest item of the tenant with the largest backlog for
// its weight, if that backlog is larger than the one that the arriving item's
// tenant would have; else nil.
func (c *classQueue[T]) displaceable(arriving *Item[T]) *Item[T] {
	own := 1.0
	if tenant := c.flows[arriving.Tenant]; tenant != nil {
		own += float64(tenant.backlog)
	}
	largest := own / arriving.Weight
	var displaced *Item[T]
	for _, item := range c.items {
		tenant := c.flows[item.Tenant]
		if item.Tenant == arriving.Tenant {
			continue
		}
		share := float64(tenant.backlog) / tenant.weight
		if share > largest || (displaced != nil && displaced.Tenant == item.Tenant) {
			largest = share
			displaced = item
		}
	}
	return displaced
}
