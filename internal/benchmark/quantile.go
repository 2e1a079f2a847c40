package benchmark

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of what a quantiles records.
const (
	longestRecorded = 10 * time.Minute
	recordedDigits  = 3
)

// quantiles collects times with a resolution of one microsecond. A time below it
// counts as one, since clocks may show a hop as taking none.
type quantiles struct {
	histogram *hdrhistogram.Histogram
}

func newQuantiles() *quantiles {
	return &quantiles{histogram: hdrhistogram.New(1, longestRecorded.Microseconds(), recordedDigits)}
}

func (q *quantiles) add(length time.Duration) {
	value := min(max(length.Microseconds(), 1), longestRecorded.Microseconds())
	_ = q.histogram.RecordValue(value) // cannot fail: the value is within the bounds
}

func (q *quantiles) merge(other *quantiles) { q.histogram.Merge(other.histogram) }

func (q *quantiles) count() int64 { return q.histogram.TotalCount() }

// at returns the time that the percentage of all stays at or below.
func (q *quantiles) at(percentage float64) time.Duration {
	return time.Duration(q.histogram.ValueAtPercentile(percentage)) * time.Microsecond
}

func (q *quantiles) longest() time.Duration {
	return time.Duration(q.histogram.Max()) * time.Microsecond
}
