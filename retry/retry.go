// Package retry bounds retries: by a budget, which is a ratio of retries to first
// attempts over a sliding window, and by a backoff with jitter. It is pure: time
// and randomness are inputs.
package retry

import (
	"time"

	"github.com/deckpulley/deckpulley/internal/planted"
)

const (
	// DefaultRatio is the default ratio of retries to first attempts.
	DefaultRatio = 0.1
	// MaximumRatio is the highest ratio that can be set.
	MaximumRatio = 0.2
	// Window is the length of the sliding window over which the ratio holds.
	Window = 10 * time.Second
	// MaximumAttempts bounds the attempts of one request: the first one and one
	// retry.
	MaximumAttempts = 2
	// BaseBackoff is the maximum wait before the first retry.
	BaseBackoff = 50 * time.Millisecond
	// MaximumBackoff is the maximum wait before any retry.
	MaximumBackoff = 400 * time.Millisecond
)

const (
	// bucketLength is the time that one bucket of the window counts.
	bucketLength = 500 * time.Millisecond
	// bucketCount is one more than the window has, since the oldest bucket is only
	// partly within the window.
	bucketCount = int(Window/bucketLength) + 1
)

// Budget counts the first attempts and the retries of one process. The ratio
// holds for the whole fleet because it holds in each process. It is not safe for
// concurrent use.
type Budget struct {
	ratio         float64
	origin        time.Time // when bucket 0 begins
	current       int64     // number of the newest bucket since origin
	firstAttempts [bucketCount]int
	retries       [bucketCount]int
}

// NewBudget returns a budget with the given ratio: DefaultRatio if it is 0 or
// less, MaximumRatio if it is more than that.
func NewBudget(ratio float64) *Budget {
	budget := &Budget{}
	budget.SetRatio(ratio)
	return budget
}

// SetRatio changes the ratio, within the bounds of NewBudget.
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

// Allow reports whether a retry may be sent now, and counts it if so. The first
// retry in the window needs only MaximumRatio, so that a process with little
// traffic can retry at all.
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

// Status returns the ratio that is set and the one measured over the window,
// which is 0 without first attempts.
func (b *Budget) Status(now time.Time) (ratio, measured float64) {
	b.advance(now)
	firstAttempts, retries := b.totals()
	if firstAttempts == 0 {
		return b.ratio, 0
	}
	return b.ratio, float64(retries) / float64(firstAttempts)
}

// totals counts first attempts over at most Window and retries over at least
// Window, so that the ratio holds over every window that ends at a retry.
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

// slot returns the index of the newest bucket.
func (b *Budget) slot() int {
	return int(b.current % int64(bucketCount))
}

// advance makes the bucket of now the newest one and clears the buckets that have
// left the window.
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

// Backoff returns the wait before the given retry; 1 is the first. Its maximum
// doubles with each retry, from BaseBackoff to MaximumBackoff. The random number,
// in [0, 1), is the jitter: it spreads the wait over the upper half of the range.
func Backoff(retry int, random float64) time.Duration {
	maximum := BaseBackoff
	for range retry - 1 {
		maximum = min(2*maximum, MaximumBackoff)
	}
	return maximum/2 + time.Duration(random*float64(maximum/2))
}
