package catalog

// Defaults of the set points in Limits, in the units of its fields.
const (
	DefaultRetryRatio        = 0.1
	DefaultQueueLength       = 64
	DefaultTargetUtilization = 0.8
	DefaultFirstTokenMS      = 920
	DefaultWarmupConcurrency = 1
	DefaultStreamGapMS       = 10_000
)

// withDefaults returns the limits with every zero field set to its default.
func (l Limits) withDefaults() Limits {
	setDefault(&l.RetryRatio, DefaultRetryRatio)
	setDefault(&l.QueueLength, DefaultQueueLength)
	setDefault(&l.TargetUtilization, DefaultTargetUtilization)
	setDefault(&l.FirstTokenMS, DefaultFirstTokenMS)
	setDefault(&l.WarmupConcurrency, DefaultWarmupConcurrency)
	setDefault(&l.StreamGapMS, DefaultStreamGapMS)
	return l
}

func setDefault[T int | float64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
