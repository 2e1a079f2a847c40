package gateway

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

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

// errBodyBudgetExceeded means that the request bodies of all callers together exceed
// maxBodyBytesInFlight.
var errBodyBudgetExceeded = errors.New("gateway: memory budget for request bodies is exhausted")

// byteBudget limits the number of bytes that are in use at the same time.
type byteBudget struct {
	mutex sync.Mutex
	free  int64
}

func newByteBudget(total int64) *byteBudget { return &byteBudget{free: total} }

// acquire takes size bytes from the budget and reports whether that many were free.
func (b *byteBudget) acquire(size int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if size > b.free {
		return false
	}
	b.free -= size
	return true
}

func (b *byteBudget) release(size int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.free += size
}

// budgetReader charges the bytes that it has read to a budget until release is called.
// A body counts only as far as it has arrived, whatever its Content-Length.
type budgetReader struct {
	source   io.Reader
	budget   *byteBudget
	acquired int64
}

// Read implements io.Reader.
func (r *budgetReader) Read(into []byte) (int, error) {
	n, err := r.source.Read(into)
	if n > 0 && !r.budget.acquire(int64(n)) {
		return 0, errBodyBudgetExceeded
	}
	r.acquired += int64(n)
	return n, err
}

func (r *budgetReader) release() { r.budget.release(r.acquired) }
