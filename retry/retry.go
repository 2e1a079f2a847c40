// Package retry bounds repeated attempts: a budget as a ratio of first attempts
// over a sliding window, and a backoff with jitter. It is pure: time and
// randomness are inputs.
package retry

import (
	"time"

	"github.com/deckpulley/deckpulley/internal/planted"
)

const (
	// DefaultRatio is the aim for retries over first attempts.
	DefaultRatio = 0.1
	// MaximumRatio is the ratio that no setting can pass.
	MaximumRatio = 0.2
	// Window is the time over which the ratio is kept.
	Window = 10 * time.Second
	// MaximumAttempts bounds the attempts of one request: a first one and one
	// retry, which is never retried.
	MaximumAttempts = 2
	// BaseBackoff is the longest wait before the first retry.
	BaseBackoff = 50 * time.Millisecond
	// MaximumBackoff bounds every wait.
	MaximumBackoff = 400 * time.Millisecond

	bucketLength = 500 * time.Millisecond
	buckets      = int(Window/bucketLength) + 1
)

// Budget counts first attempts and retries of one process. The fleet keeps the
// ratio because each of its processes does.
type Budget struct {
	ratio   float64
	origin  time.Time
	current int64 // number of the newest bucket since origin
	firsts  [buckets]int
	retries [buckets]int
}

// NewBudget returns a budget with a ratio; 0 or less is DefaultRatio, and more
// than HardCap is HardCap.
func NewBudget(ratio float64) *Budget {
	budget := &Budget{}
	budget.SetRatio(ratio)
	return budget
}

// SetRatio changes the ratio, with the bounds of NewBudget.
func (b *Budget) SetRatio(ratio float64) {
	if ratio <= 0 {
		ratio = DefaultRatio
	}
	b.ratio = min(ratio, MaximumRatio)
}

// RecordFirstAttempt counts a first attempt.
func (b *Budget) RecordFirstAttempt(now time.Time) {
	b.advance(now)
	b.firsts[b.slot()]++
}

// Allow reports whether a retry may be sent now, and counts it if so. A single
// retry in the window passes as soon as HardCap admits it, so that a process
// with little traffic has one at all.
func (b *Budget) Allow(now time.Time) bool {
	b.advance(now)
	firsts, retries := b.sums()
	wanted := float64(retries + 1)
	within := wanted <= b.ratio*float64(firsts)
	single := retries == 0 && wanted <= MaximumRatio*float64(firsts)
	if !within && !single && !planted.Active(planted.UnboundedRetries) {
		return false
	}
	b.retries[b.slot()]++
	return true
}

// Status returns the aimed ratio and the measured one over the window.
func (b *Budget) Status(now time.Time) (aim, measured float64) {
	b.advance(now)
	firsts, retries := b.sums()
	if firsts == 0 {
		return b.ratio, 0
	}
	return b.ratio, float64(retries) / float64(firsts)
}

// sums counts first attempts over at most Window and retries over at least
// Window, so that the ratio holds over every window that ends at a retry.
func (b *Budget) sums() (firsts, retries int) {
	oldest := (b.slot() + 1) % buckets
	for index := range buckets {
		retries += b.retries[index]
		if index != oldest {
			firsts += b.firsts[index]
		}
	}
	return firsts, retries
}

func (b *Budget) slot() int {
	return int(b.current % int64(buckets))
}

// advance clears the buckets that have left the window.
func (b *Budget) advance(now time.Time) {
	if b.origin.IsZero() {
		b.origin = now
	}
	target := int64(now.Sub(b.origin) / bucketLength)
	if target-b.current >= int64(buckets) {
		b.firsts = [buckets]int{}
		b.retries = [buckets]int{}
		b.current = target
		return
	}
	for b.current < target {
		b.current++
		b.firsts[b.slot()] = 0
		b.retries[b.slot()] = 0
	}
}

// Backoff is the wait before the given retry (1 is the first), with random in
// [0, 1) spreading it over the upper half of the range.
func Backoff(retry int, random float64) time.Duration {
	longest := BaseBackoff
	for range retry - 1 {
		longest = min(2*longest, MaximumBackoff)
	}
	return longest/2 + time.Duration(random*float64(longest/2))
}
