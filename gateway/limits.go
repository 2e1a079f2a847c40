package gateway

import "sync/atomic"

// concurrencyLimit limits how many operations are in flight at the same time.
type concurrencyLimit struct {
	limit    int64
	inFlight atomic.Int64
}

// tryAcquire reports whether the limit allows another operation. If so, release must be
// called at its end.
func (l *concurrencyLimit) tryAcquire() bool {
	if l.inFlight.Add(1) > l.limit {
		l.inFlight.Add(-1)
		return false
	}
	return true
}

func (l *concurrencyLimit) release() { l.inFlight.Add(-1) }

// maxBodyBytesInFlight bounds the memory for the request bodies of all callers.
const maxBodyBytesInFlight = 64 << 20
