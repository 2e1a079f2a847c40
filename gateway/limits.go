package gateway

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// concurrencyLimit bounds how many are in flight at the same time.
type concurrencyLimit struct {
	limit    int64
	inFlight atomic.Int64
}

// tryAcquire reports whether the limit allows one more, which must be released.
func (b *concurrencyLimit) tryAcquire() bool {
	if b.inFlight.Add(1) > b.limit {
		b.inFlight.Add(-1)
		return false
	}
	return true
}

func (b *concurrencyLimit) release() { b.inFlight.Add(-1) }

// maxBodyBytesInFlight bounds the memory of request bodies of all callers.
const maxBodyBytesInFlight = 64 << 20

// errBodyBudgetExceeded means that the bodies of all callers together are too large.
var errBodyBudgetExceeded = errors.New("gateway: too many bytes of request bodies at once")

// byteBudget bounds a sum of bytes.
type byteBudget struct {
	mutex sync.Mutex
	free  int64
}

func newByteBudget(total int64) *byteBudget { return &byteBudget{free: total} }

// acquire reports whether the bytes were free and takes them if so.
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

// budgetReader charges the bytes that have arrived to a budget until release, so that
// a body that is announced and not sent costs nothing.
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
