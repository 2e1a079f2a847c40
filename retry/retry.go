// Package retry limits retries by a budget and delays them by a backoff with jitter. The
// budget limits the ratio of retries to first attempts in a sliding window. The package
// uses no clock and no random numbers of its own: both are inputs.
package retry

import (
	"time"

	"github.com/deckpulley/deckpulley/internal/planted"
)

const (
	// DefaultRatio is the default ratio of retries to first attempts.
	DefaultRatio = 0.1
	// MaximumRatio is the highest ratio that a budget can have.
	MaximumRatio = 0.2
	// Window is the length of the sliding window in which the ratio is limited.
	Window = 10 * time.Second
	// MaximumAttempts is the maximum number of attempts of one request: the first one
	// and one retry.
	MaximumAttempts = 2
	// BaseBackoff is the upper bound on the wait before the first retry.
	BaseBackoff = 50 * time.Millisecond
	// MaximumBackoff is the upper bound on the wait before any retry.
	MaximumBackoff = 400 * time.Millisecond
)

const (
	// bucketLength is the time that one bucket of the window covers.
	bucketLength = 500 * time.Millisecond
	// bucketCount is one more than the number of buckets in a window, since the oldest
	// bucket is only partly within the window.
	bucketCount = int(Window/bucketLength) + 1
)

// Budget counts the first attempts and the retries of one process. If every process
// stays within its budget, the whole fleet does as well. It is not safe for concurrent
// use.
type Budget struct {
	ratio         float64
	origin        time.Time // start of bucket 0
	current       int64     // number of the newest bucket, counted from origin
	firstAttempts [bucketCount]int
	retries       [bucketCount]int
}

// NewBudget returns a budget with the given ratio. A ratio of 0 or less selects
// DefaultRatio, and one above MaximumRatio selects MaximumRatio.
func NewBudget(ratio float64) *Budget {
	budget := &Budget{}
	budget.SetRatio(ratio)
	return budget
}

// SetRatio changes the ratio. It replaces ratios out of bounds like NewBudget.
func (b *Budget) SetRatio(ratio float64) {
	if ratio <= 0 {
		ratio = DefaultRatio
	}
	b.ratio = min(ratio, MaximumRatio)
}

// RecordFirstAttempt counts the first attempt of a request.
func (b *Budget) RecordFirstAttempt(now time.Time) {
	b.advance(now)
	b.firstAttempts[b.slot()]++
}

// Allow reports whether a retry may be sent now, and counts it if so. If there is no
// other retry in the window, the limit is MaximumRatio instead of the budget's ratio, so
// that a process with little traffic can retry at all.
func (b *Budget) Allow(now time.Time) bool {
	b.advance(now)
	firstAttempts, retries := b.totals()
	requested := float64(retries + 1)
	withinRatio := requested <= b.ratio*float64(firstAttempts)
	onlyRetry := retries == 0 && requested <= MaximumRatio*float64(firstAttempts)
	if !withinRatio && !onlyRetry && !planted.Active(planted.UnboundedRetries) {
		return false
	}
	b.retries[b.slot()]++
	return true
}

// Status returns the configured ratio and the ratio measured in the window, which is 0
// without first attempts.
func (b *Budget) Status(now time.Time) (ratio, measured float64) {
	b.advance(now)
	firstAttempts, retries := b.totals()
	if firstAttempts == 0 {
		return b.ratio, 0
	}
	return b.ratio, float64(retries) / float64(firstAttempts)
}

// totals returns the number of first attempts in the newest complete buckets, which cover
// at most Window, and the number of retries in all buckets, which cover at least Window.
// So the ratio is within its limit in every window that ends at a retry.
func (b *Budget) totals() (firstAttempts, retries int) {
	oldest := (b.slot() + 1) % bucketCount
	for index := range bucketCount {
		retries += b.retries[index]
		if index != oldest {
			firstAttempts += b.firstAttempts[index]
		}
	}
	return firstAttempts, retries
}

// slot returns the index of the newest bucket in the arrays.
func (b *Budget) slot() int {
	return int(b.current % int64(bucketCount))
}

// advance makes the bucket that contains now the newest one, and clears the buckets that
// have left the window.
func (b *Budget) advance(now time.Time) {
	if b.origin.IsZero() {
		b.origin = now
	}
	target := int64(now.Sub(b.origin) / bucketLength)
	if target-b.current >= int64(bucketCount) {
		b.firstAttempts = [bucketCount]int{}
		b.retries = [bucketCount]int{}
		b.current = target
		return
	}
	for b.current < target {
		b.current++
		b.firstAttempts[b.slot()] = 0
		b.retries[b.slot()] = 0
	}
}

// Backoff returns the wait before a retry, where retry is 1 for the first one. The upper
// bound on the wait doubles with each retry, from BaseBackoff to MaximumBackoff. The wait
// is between half of the upper bound and the upper bound; random, a number in [0, 1),
// selects the value in this range.
func Backoff(retry int, random float64) time.Duration {
	maximum := BaseBackoff
	for range retry - 1 {
		maximum = min(2*maximum, MaximumBackoff)
	}
	return maximum/2 + time.Duration(random*float64(maximum/2))
}
