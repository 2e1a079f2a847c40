package catalog

// Defaults of the set points.
const (
	DefaultRetryRatio        = 0.1
	DefaultQueueLength       = 64
	DefaultTargetUtilization = 0.8
	DefaultFirstTokenMS      = 920
	DefaultWarmupConcurrency = 1
	DefaultStreamGapMS       = 10_000
)

// withDefaults fills in the fields that are zero.
func (l Limits) withDefaults() Limits {
	fill(&l.RetryRatio, DefaultRetryRatio)
	fill(&l.QueueLength, DefaultQueueLength)
	fill(&l.TargetUtilization, DefaultTargetUtilization)
	fill(&l.FirstTokenMS, DefaultFirstTokenMS)
	fill(&l.WarmupConcurrency, DefaultWarmupConcurrency)
	fill(&l.StreamGapMS, DefaultStreamGapMS)
	return l
}

func fill[T int | float64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
