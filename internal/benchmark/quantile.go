package benchmark

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Upper limit and precision of the recorded durations.
const (
	longestRecorded   = 10 * time.Minute
	significantDigits = 3
)

// quantiles is a histogram of durations with a resolution of one microsecond. Shorter
// durations, including negative ones, count as one microsecond.
type quantiles struct {
	histogram *hdrhistogram.Histogram
}

func newQuantiles() *quantiles {
	return &quantiles{histogram: hdrhistogram.New(1, longestRecorded.Microseconds(), significantDigits)}
}

func (q *quantiles) add(duration time.Duration) {
	value := min(max(duration.Microseconds(), 1), longestRecorded.Microseconds())
	_ = q.histogram.RecordValue(value) // cannot fail: the value is in range
}

func (q *quantiles) merge(other *quantiles) { q.histogram.Merge(other.histogram) }

func (q *quantiles) count() int64 { return q.histogram.TotalCount() }

// percentile returns the given percentile of the recorded durations; percentage is between 0 and
// 100.
func (q *quantiles) percentile(percentage float64) time.Duration {
	return time.Duration(q.histogram.ValueAtPercentile(percentage)) * time.Microsecond
}

func (q *quantiles) longest() time.Duration {
	return time.Duration(q.histogram.Max()) * time.Microsecond
}
