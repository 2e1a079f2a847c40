package dispatch

import (
	"time"

	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/placement"
)

const (
	// initialServiceTime is the time in seconds for which a request is assumed to occupy
	// a slot before any measurement, and serviceTimeWeight is the weight of one
	// measurement.
	initialServiceTime = 0.2
	serviceTimeWeight  = 0.05

	// minAvoidance is how long a replica is avoided after a first failure to reach it. The
	// time doubles with each further failure, up to maxAvoidance.
	minAvoidance = 400 * time.Millisecond
	maxAvoidance = 3 * time.Second
	// maxAvoidanceShift limits the doublings, so that the shift does not overflow.
	maxAvoidanceShift = 8
	// minRejectedAvoidance is the shortest time for which a replica gets no request after
	// it rejected one.
	minRejectedAvoidance = 100 * time.Millisecond

	// minSlowdown and maxSlowdown are the bounds on the slowdown of a replica.
	minSlowdown = 0.5
	maxSlowdown = 4
	// minSlowdownWeight is the weight of a sample after the first few.
	minSlowdownWeight = 0.2
)

// replica is one incarnation of a replica. The Dispatcher's mutex guards it.
type replica struct {
	id      string
	key     peer.ReplicaKey
	number  int // identifies the replica in the service's prefix index; -1 if not assigned
	hash    uint64
	service string
	zone    string
	region  string
	address string
	slots   int

	draining       bool
	evacuated      bool
	warmingUp      bool
	warmingUpUntil time.Time
	// nextSlowStart is the earliest time of this gateway's next request to the replica
	// while it is warming up.
	nextSlowStart time.Time
	// replaced is set once another replica was found at the address.
	replaced bool

	// inFlight counts this gateway's attempts, and inFlightTokens their prompts' tokens.
	inFlight       int
	inFlightTokens float64
	// activeSince is the time at which inFlight last rose from 0.
	activeSince time.Time
	// backlog is the queued prefill from all gateways, and prompts counts the prompts
	// that were added to it so far.
	backlog backlog
	prompts int
	// slowdown is the smoothed ratio of measured to expected prefill time, and samples is
	// the number of prefills that it was computed from.
	slowdown float64
	samples  int
	// announcedPrompts are the prompts that other gateways announced most recently.
	announcedPrompts []announcedPrompt

	// failures counts the failures to reach the replica since its last response.
	failures      int
	avoidedUntil  time.Time
	rejectedUntil time.Time
}

func newReplica(id string) *replica {
	return &replica{id: id, key: peer.NewReplicaKey(id), number: -1, hash: placement.Hash(id), slowdown: 1}
}

// isWarmingUp reports whether the replica is warming up, according to the registry or
// because the evacuation of its zone ended recently.
func (r *replica) isWarmingUp(now time.Time) bool {
	return r.warmingUp || now.Before(r.warmingUpUntil)
}

// isIdle reports whether the replica has requests in flight but has sent nothing for
// idleTimeout.
func (r *replica) isIdle(now, lastReceived time.Time) bool {
	if r.inFlight == 0 {
		return false
	}
	idleSince := r.activeSince
	if lastReceived.After(idleSince) {
		idleSince = lastReceived
	}
	return now.Sub(idleSince) > idleTimeout
}

// recordUnreachable makes the replica avoided for a time that doubles with each failure.
func (r *replica) recordUnreachable(now time.Time) {
	avoidance := minAvoidance << min(r.failures, maxAvoidanceShift)
	r.failures++
	r.avoidedUntil = now.Add(min(avoidance, maxAvoidance))
}

// recordResponse ends the avoidance of the replica.
func (r *replica) recordResponse() {
	r.failures = 0
	r.avoidedUntil = time.Time{}
}

// observeSlowdown updates the slowdown with a sample of any gateway. At first the slowdown
// is the mean of the samples and of the initial value; later it is an exponential moving
// average with the weight minSlowdownWeight.
func (r *replica) observeSlowdown(slowdown float64) {
	r.samples++
	weight := max(1/float64(r.samples+1), minSlowdownWeight)
	slowdown = min(max(slowdown, minSlowdown), maxSlowdown)
	r.slowdown += weight * (slowdown - r.slowdown)
}

// addPrompt adds the prefill of a prompt of any gateway to the backlog.
func (r *replica) addPrompt(now time.Time, prefill time.Duration) {
	r.prompts++
	r.backlog.add(now, prefill)
}

// backlog is the prefill that is queued at a replica for all gateways. A replica prefills
// one prompt after another.
type backlog struct {
	// end is the time at which the replica is expected to have prefilled all of it.
	end time.Time
}

// add adds the prefill time of one prompt. A negative time removes a prompt whose placement
// was canceled.
func (b *backlog) add(now time.Time, prefill time.Duration) {
	if b.end.Before(now) {
		b.end = now
	}
	b.end = b.end.Add(prefill)
}

// remaining returns the prefill time that is left.
func (b *backlog) remaining(now time.Time) time.Duration { return max(0, b.end.Sub(now)) }

// attemptLoad is the share of one attempt in a replica's load. The Dispatcher's mutex
// guards it. The attempt's goroutine, the only one that sets firstEvent, also reads that
// field without the mutex.
type attemptLoad struct {
	replica  *replica
	estimate prefillEstimate
	// prefill is the expected prefill time of the prompt, and backlog is the replica's
	// backlog ahead of it when it was placed.
	prefill time.Duration
	backlog time.Duration
	// prompts is the replica's count of prompts just after this one was added.
	prompts int
	tokens  float64
	began   time.Time
	// firstEvent is set once the first event was received, and released once the attempt
	// was removed from the replica's load.
	firstEvent bool
	released   bool
}

// addAttempt adds an attempt with a prompt of the given number of tokens to the replica's
// load.
func (r *replica) addAttempt(now time.Time, estimate prefillEstimate, tokens float64) *attemptLoad {
	if r.inFlight == 0 {
		r.activeSince = now
	}
	load := &attemptLoad{
		replica:  r,
		estimate: estimate,
		backlog:  r.backlog.remaining(now),
		tokens:   tokens,
		began:    now,
	}
	load.prefill = time.Duration(estimate.seconds() * r.slowdown * float64(time.Second))
	r.inFlight++
	r.inFlightTokens += tokens
	r.addPrompt(now, load.prefill)
	load.prompts = r.prompts
	return load
}

// recordFirstEvent records that the prompt was prefilled. It returns the time to the first
// event in seconds, and whether that is usable as a sample of the replica's speed. It is
// not if other prompts, network latency or cached tokens that were not known may have
// distorted it too much.
func (l *attemptLoad) recordFirstEvent(now time.Time) (took float64, sampled bool) {
	if l.firstEvent {
		return 0, false
	}
	l.firstEvent = true
	expected := l.estimate.seconds()
	alone := l.prompts == l.replica.prompts && l.backlog.Seconds() <= maxSampledBacklog*expected
	if expected < minSampledPrefill || !alone {
		return 0, false
	}
	took = now.Sub(l.began).Seconds()
	if took < l.estimate.model.overhead+minUncertainSlowdown*expected && !l.estimate.certain {
		return 0, false // the replica probably had more of the prompt in its cache than is known
	}
	return took, true
}

// release removes the attempt from the replica's load, but not its prompt from the backlog.
// Calls after the first one have no effect.
func (l *attemptLoad) release() {
	if l.released {
		return
	}
	l.released = true
	l.replica.inFlight--
	l.replica.inFlightTokens -= l.tokens
}
