package gateway

import "sync/atomic"

// bound counts what is under way, up to a most.
type bound struct {
	most  int64
	count atomic.Int64
}

// enter reports whether there is a place; leave gives it back.
func (b *bound) enter() bool {
	if b.count.Add(1) > b.most {
		b.count.Add(-1)
		return false
	}
	return true
}

func (b *bound) leave() { b.count.Add(-1) }
