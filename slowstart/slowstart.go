// Package slowstart raises the concurrency limit of one replica step by step,
// and only on successes: slowly for a replica that is warming up, faster for one
// that returns to service. It is pure and keeps no time: without successes the
// limit does not grow.
package slowstart

// Growth is the way in which a limit rises.
type Growth uint8

const (
	// Additive adds one after as many successes as the present limit. It is meant
	// for replicas that are warming up, whose speed rises with the work they have
	// done.
	Additive Growth = iota
	// Doubling doubles the limit after as many successes as the present limit. It
	// is meant for warm replicas that return to service.
	Doubling
)

// Limiter bounds the requests in flight on one replica. It is not safe for
// concurrent use.
type Limiter struct {
	growth    Growth
	initial   int
	limit     int
	maximum   int
	successes int // since the limit last changed or a request failed
}

// New returns a limiter that starts at initial and is done at maximum. Both are
// raised to 1 if lower.
func New(growth Growth, initial, maximum int) *Limiter {
	initial = max(1, initial)
	maximum = max(1, maximum)
	return &Limiter{growth: growth, initial: initial, limit: min(initial, maximum), maximum: maximum}
}

// Limit returns the number of requests that may be in flight now, at least 1.
func (l *Limiter) Limit() int {
	return l.limit
}

// Growth returns the way in which the limit rises.
func (l *Limiter) Growth() Growth {
	return l.growth
}

// Done reports whether the limit has reached its maximum.
func (l *Limiter) Done() bool {
	return l.limit >= l.maximum
}

// RecordSuccess records a request that the replica completed.
func (l *Limiter) RecordSuccess() {
	l.successes++
	if l.successes < l.limit {
		return
	}
	l.successes = 0
	switch l.growth {
	case Additive:
		l.limit = min(l.maximum, l.limit+1)
	case Doubling:
		l.limit = min(l.maximum, l.limit*2)
	}
}

// RecordFailure records a request that the replica failed. It halves the limit,
// but not below the initial one.
func (l *Limiter) RecordFailure() {
	l.successes = 0
	l.limit = max(min(l.initial, l.maximum), l.limit/2)
}
