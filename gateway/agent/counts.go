package agent

import "sync/atomic"

// counts counts events by the value of a label, which is one of those given to newCounts. It
// is safe for concurrent use.
type counts[L comparable] struct {
	byLabel map[L]*atomic.Uint64
}

func newCounts[L comparable](labels []L) counts[L] {
	byLabel := make(map[L]*atomic.Uint64, len(labels))
	for _, label := range labels {
		byLabel[label] = new(atomic.Uint64)
	}
	return counts[L]{byLabel: byLabel}
}

// add counts one event.
func (c *counts[L]) add(label L) { c.byLabel[label].Add(1) }

// snapshot returns the number of events by label, 0 included.
func (c *counts[L]) snapshot() map[L]uint64 {
	values := make(map[L]uint64, len(c.byLabel))
	for label, count := range c.byLabel {
		values[label] = count.Load()
	}
	return values
}
