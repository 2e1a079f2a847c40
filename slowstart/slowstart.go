// Package slowstart raises what one replica is given step by step, and only on
// successes: for a cold replica slowly, for a returning one faster. It is pure
// and keeps no time at all: without successes nothing grows.
package slowstart

// Growth says how a ramp rises.
type Growth uint8

const (
	// Additive adds one after as many successes as the present limit. It is
	// meant for cold replicas, whose speed rises with what they have done.
	Additive Growth = iota
	// Doubling doubles after as many successes as the present limit. It is meant
	// for warm replicas that return.
	Doubling
)

// Limiter bounds the requests in flight on one replica.
type Limiter struct {
	growth    Growth
	initial   int
	limit     int
	full      int
	successes int
}

// New starts a ramp at initial that is done at full. Both are at least 1.
func New(growth Growth, initial, full int) *Limiter {
	initial = max(1, initial)
	full = max(1, full)
	return &Limiter{growth: growth, initial: initial, limit: min(initial, full), full: full}
}

// Limit is the number of requests that may be in flight now.
func (r *Limiter) Limit() int {
	return r.limit
}

// Growth is how the ramp rises.
func (r *Limiter) Growth() Growth {
	return r.growth
}

// Done reports whether the ramp has reached its end.
func (r *Limiter) Done() bool {
	return r.limit >= r.full
}

// RecordSuccess records a request that the replica completed.
func (r *Limiter) RecordSuccess() {
	r.successes++
	if r.successes < r.limit {
		return
	}
	r.successes = 0
	switch r.growth {
	case Additive:
		r.limit = min(r.full, r.limit+1)
	case Doubling:
		r.limit = min(r.full, r.limit*2)
	}
}

// RecordFailure records a request that the replica failed: the limit halves, to its
// first step at the least.
func (r *Limiter) RecordFailure() {
	r.successes = 0
	r.limit = max(min(r.initial, r.full), r.limit/2)
}
