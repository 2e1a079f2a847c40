package dispatch

// The time that a replica takes to prefill a prompt grows with the tokens that are not
// in its cache, and with the tokens that each of them attends to. The work of a prefill
// is measured in seconds of a reference replica, a large model on one machine with eight
// accelerators. How a service's engines compare with it is its prefillModel, and how one
// replica compares with its service is its slowdown; both are learned.
const (
	// referencePrefillRate is the rate of the reference replica, in tokens a second.
	referencePrefillRate = 59_000
	// attentionTokens is the length of a prompt whose attention alone takes a second.
	attentionTokens = 85_000

	// minSampledPrefill is the shortest expected prefill that is a sample of a replica's
	// speed, in seconds: the network has too large a share in shorter ones.
	minSampledPrefill = 0.02
	// maxSampledBacklog is the largest backlog ahead of a sampled prefill, as a ratio of
	// the prefill.
	maxSampledBacklog = 0.05
	// maxUnknownCached is the largest share of a prefill that the replica may have in its
	// cache without this gateway's knowledge, for its size to be certain.
	maxUnknownCached = 0.1
	// minUncertainSlowdown is the lowest slowdown that is believed of a prefill whose
	// size is not certain.
	minUncertainSlowdown = 0.9
)

// prefillEstimate is the prefill of one prompt at one replica.
type prefillEstimate struct {
	// work is in seconds of the reference replica.
	work float64
	// model is that of the service when the prompt was placed.
	model prefillModel
	// certain says that the replica can have little more of the prompt in its cache than
	// is known.
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
