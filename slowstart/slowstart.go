// Package slowstart increases the concurrency limit of one replica step by step:
// slowly for a replica that is warming up, faster for a warm one that returns to
// service. Only successful requests increase the limit; it does not depend on time.
package slowstart

// Growth is the way in which a limit increases.
type Growth uint8

const (
	// Additive adds one to the limit after as many successes as the current limit.
	// It is meant for replicas that are warming up, which become faster with the
	// work that they do.
	Additive Growth = iota
	// Doubling doubles the limit after as many successes as the current limit. It
	// is meant for warm replicas that return to service.
	Doubling
)

// Limiter limits the requests in flight on one replica. It is not safe for
// concurrent use.
type Limiter struct {
	growth    Growth
	initial   int
	limit     int
	maximum   int
	successes int // since the limit last changed or a request failed
}

// New returns a limiter whose limit starts at initial and increases up to maximum.
// Both are at least 1; lower values are replaced by 1.
func New(growth Growth, initial, maximum int) *Limiter {
	initial = max(1, initial)
	maximum = max(1, maximum)
	return &Limiter{growth: growth, initial: initial, limit: min(initial, maximum), maximum: maximum}
}

// Limit returns the number of requests that may currently be in flight, at least 1.
func (l *Limiter) Limit() int {
	return l.limit
}

// Growth returns the way in which the limit increases.
func (l *Limiter) Growth() Growth {
	return l.growth
}

// Done reports whether the limit has reached its maximum.
func (l *Limiter) Done() bool {
	return l.limit >= l.maximum
}

// RecordSuccess records a request that the replica completed. It increases the limit
// after as many successes as the current limit.
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

// RecordFailure records a request that failed on the replica. It halves the limit,
// but not below the initial limit.
func (l *Limiter) RecordFailure() {
	l.successes = 0
	l.limit = max(min(l.initial, l.maximum), l.limit/2)
}
