// Package bytebudget limits how many bytes of received messages are in memory at the same
// time.
package bytebudget

import (
	"errors"
	"io"
	"sync"
)

// ErrExhausted means that no more bytes may be read until others are released.
var ErrExhausted = errors.New("memory budget for received bytes is exhausted")

// Budget limits the number of bytes that are in use at the same time. It is safe for
// concurrent use.
type Budget struct {
	mutex sync.Mutex
	free  int64
}

// New returns a budget of total bytes.
func New(total int64) *Budget { return &Budget{free: total} }

// Acquire takes size bytes from the budget and reports whether that many were free.
func (b *Budget) Acquire(size int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if size > b.free {
		return false
	}
	b.free -= size
	return true
}

// Release returns size bytes to the budget.
func (b *Budget) Release(size int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.free += size
}

// Reader charges the bytes that it has read to a budget until Release is called. A message
// counts only as far as it has arrived, whatever length it announces.
type Reader struct {
	source   io.Reader
	budget   *Budget
	acquired int64
}

// NewReader returns a Reader that reads from source. The caller must call Release when it
// no longer keeps the bytes.
func (b *Budget) NewReader(source io.Reader) *Reader { return &Reader{source: source, budget: b} }

// Read implements io.Reader. It returns ErrExhausted if the budget has no room for what it
// has read.
func (r *Reader) Read(into []byte) (int, error) {
	count, err := r.source.Read(into)
	if count > 0 && !r.budget.Acquire(int64(count)) {
		return 0, ErrExhausted
	}
	r.acquired += int64(count)
	return count, err
}

// Release returns all bytes that were read to the budget.
func (r *Reader) Release() { r.budget.Release(r.acquired) }
