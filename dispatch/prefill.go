package dispatch

// The time that a replica takes to prefill a prompt grows with the number of tokens that
// are not in its cache, and with the number of tokens that each of these attends to. The
// work of a prefill is the time that it takes on a reference replica, a large model on one
// machine with eight accelerators. The prefillModel of a service compares its engines with
// the reference replica, and the slowdown of a replica compares it with its service. Both
// are estimated from measurements.
const (
	// referencePrefillRate is the rate of the reference replica, in tokens a second.
	referencePrefillRate = 59_000
	// attentionTokens is the length of a prompt whose attention alone takes one second on
	// the reference replica.
	attentionTokens = 85_000

	// minSampledPrefill is the shortest expected prefill, in seconds, that is used as a
	// sample of a replica's speed: network latency distorts shorter ones too much.
	minSampledPrefill = 0.02
	// maxSampledBacklog is the largest backlog ahead of a sampled prefill, as a ratio of
	// the expected prefill.
	maxSampledBacklog = 0.05
	// maxUnknownCached is the largest share of a prefill that a replica may have in its
	// cache without this gateway's knowledge for the estimate to count as certain.
	maxUnknownCached = 0.1
	// minUncertainSlowdown is the lowest slowdown that is accepted as a sample from a
	// prefill whose estimate is not certain. A lower one probably means that more of the
	// prompt was cached.
	minUncertainSlowdown = 0.9
)

// prefillEstimate is the estimated prefill of one prompt at one replica.
type prefillEstimate struct {
	// work is in seconds of the reference replica.
	work float64
	// model is the service's model at the time when the prompt was placed.
	model prefillModel
	// certain is set if the replica can have at most maxUnknownCached more of the prompt
	// in its cache than is known.
	certain bool
}

// seconds returns the expected prefill time at a replica with a slowdown of 1.
func (e *prefillEstimate) seconds() float64 { return e.work * e.model.factor }

// prefillWork returns the work to prefill the part of a prompt that is not cached, in
// seconds of the reference replica.
func prefillWork(tokens, cached float64) float64 {
	cached = min(cached, tokens)
	attention := (tokens*tokens - cached*cached) / (attentionTokens * attentionTokens)
	return (tokens-cached)/referencePrefillRate + attention
}
