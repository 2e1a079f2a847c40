package dispatch

// The time that a replica takes to read a prompt. It grows with the tokens that
// are not in its cache, and with what each of them has to attend to. The shape is
// that of a reference replica, a large model on one machine of eight accelerators;
// the pace of a service and the slowness of each replica are learnt.
const (
	// readingSpeed is in tokens a second.
	readingSpeed = 59_000
	// attentionTokens is the length of a prompt whose attention alone takes a second.
	attentionTokens = 85_000
	// leastSlowness and mostSlowness bound the factor of a replica.
	leastSlowness = 0.5
	mostSlowness  = 4
	// leastLearning is the weight of one measured prompt once many are known.
	leastLearning = 0.2
	// measuredReading is the least expected time that tells of a replica's speed:
	// of shorter ones the network takes too large a part.
	measuredReading = 0.02
	// uncertainSlowness is the least slowness that is believed of a reading of which
	// the replica may have held a part.
	uncertainSlowness = 0.9
	// uncertainPart is the part of a measured reading that the replica may have held
	// without this gateway's knowledge.
	uncertainPart = 0.1
	// aloneAhead is the part of the own reading that may have been before it in a
	// measured prompt.
	aloneAhead = 0.05
)

// reading is what a replica has to read of one prompt.
type reading struct {
	work float64 // in seconds of the reference replica
	// pace is that of the service when the prompt was placed.
	pace pace
	// certain says that the replica can hold little more of it than is known.
	certain bool
}

// seconds is the expected time to read it, at a slowness of 1.
func (r *reading) seconds() float64 { return r.work * r.pace.factor }

// readingWork is the work to read the rest of a prompt of which a part is cached,
// in seconds of the reference replica.
func readingWork(tokens, cached float64) float64 {
	cached = min(cached, tokens)
	attention := (tokens*tokens - cached*cached) / (attentionTokens * attentionTokens)
	return (tokens-cached)/readingSpeed + attention
}
