package dispatch

import (
	"time"

	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/placement"
)

const (
	// initialServiceTime is the assumed time in seconds for which a request occupies a
	// slot, and serviceTimeWeight the weight of one measurement of it.
	initialServiceTime = 0.2
	serviceTimeWeight  = 0.05

	// minAvoidance is how long a replica is avoided after it could not be reached. The
	// time doubles with each further failure, up to maxAvoidance.
	minAvoidance = 400 * time.Millisecond
	maxAvoidance = 3 * time.Second
	// maxAvoidanceShift bounds the doublings.
	maxAvoidanceShift = 8
	// minRejectedAvoidance is the shortest time for which a replica is not used after it
	// rejected a request.
	minRejectedAvoidance = 100 * time.Millisecond

	// minSlowdown and maxSlowdown bound the slowdown of a replica.
	minSlowdown = 0.5
	maxSlowdown = 4
	// minSlowdownWeight is the weight of one sample once there are many.
	minSlowdownWeight = 0.2
)

// replica is one incarnation of a replica. The Dispatcher's mutex guards it.
type replica struct {
	id      string
	key     peer.ReplicaKey
	number  int // in the service's prefix index; -1 until it has one
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
	// nextSlowStart is when this gateway may send it the next request while it is
	// warming up.
	nextSlowStart time.Time
	// replaced is set when another replica was found at its address.
	replaced bool

	// inFlight counts this gateway's attempts, and inFlightTokens their prompts' tokens.
	inFlight       int
	inFlightTokens float64
	// activeSince is when inFlight last rose from 0.
	activeSince time.Time
	// backlog is the prefill of all gateways, and prompts counts the prompts that were
	// added to it.
	backlog backlog
	prompts int
	// slowdown is the measured prefill time as a ratio of the expected one, and samples
	// the number of prefills that it was learned from.
	slowdown float64
	samples  int
	// reservations are the newest prompts that other gateways placed.
	reservations []reservation

	// failures counts the failures to reach it since it last responded.
	failures      int
	avoidedUntil  time.Time
	rejectedUntil time.Time
}

func newReplica(id string) *replica {
	return &replica{id: id, key: peer.NewReplicaKey(id), number: -1, hash: placement.Hash(id), slowdown: 1}
}

// isWarmingUp reports whether the replica is in slow start.
func (r *replica) isWarmingUp(now time.Time) bool {
	return r.warmingUp || now.Before(r.warmingUpUntil)
}

// isIdle reports whether a replica with requests in flight has sent nothing for the
// idle timeout.
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

// recordUnreachable avoids the replica for a time that doubles with each failure.
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

// observeSlowdown updates the slowdown with a sample of any gateway. The first samples
// weigh as much as the assumption before them.
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

// backlog is the prefill that a replica still has to do for all gateways. It prefills
// prompts one after another.
type backlog struct {
	// end is when the replica will have prefilled all of it.
	end time.Time
}

// add appends the prefill of one prompt. It is negative for a prompt whose placement was
// canceled.
func (b *backlog) add(now time.Time, prefill time.Duration) {
	if b.end.Before(now) {
		b.end = now
	}
	b.end = b.end.Add(prefill)
}

// remaining returns the prefill that is still to be done.
func (b *backlog) remaining(now time.Time) time.Duration { return max(0, b.end.Sub(now)) }

// replicaUse is the part of a replica's load that belongs to one attempt. The
// Dispatcher's mutex guards it, but firstEvent is also read without by the attempt's own
// goroutine, which alone sets it.
type replicaUse struct {
	replica  *replica
	estimate prefillEstimate
	// prefill is the expected time for the own prompt, and backlog the replica's when
	// the prompt was placed.
	prefill time.Duration
	backlog time.Duration
	// prompts is the replica's count with this one.
	prompts int
	tokens  float64
	began   time.Time
	// firstEvent is set when the first event was received, and released when the
	// attempt no longer counts.
	firstEvent bool
	released   bool
}

// reserve adds an attempt with a prompt of so many tokens to the replica's load.
func (r *replica) reserve(now time.Time, estimate prefillEstimate, tokens float64) *replicaUse {
	if r.inFlight == 0 {
		r.activeSince = now
	}
	use := &replicaUse{
		replica:  r,
		estimate: estimate,
		backlog:  r.backlog.remaining(now),
		tokens:   tokens,
		began:    now,
	}
	use.prefill = time.Duration(estimate.seconds() * r.slowdown * float64(time.Second))
	r.inFlight++
	r.inFlightTokens += tokens
	r.addPrompt(now, use.prefill)
	use.prompts = r.prompts
	return use
}

// recordFirstEvent records that the prompt was prefilled. It returns the time to the
// first event in seconds, and whether this is a sample of the replica's speed: it is
// not if other prompts, the network or an unknown cache had too large a share in it.
func (u *replicaUse) recordFirstEvent(now time.Time) (took float64, sampled bool) {
	if u.firstEvent {
		return 0, false
	}
	u.firstEvent = true
	expected := u.estimate.seconds()
	alone := u.prompts == u.replica.prompts && u.backlog.Seconds() <= maxSampledBacklog*expected
	if expected < minSampledPrefill || !alone {
		return 0, false
	}
	took = now.Sub(u.began).Seconds()
	if took < u.estimate.model.overhead+minUncertainSlowdown*expected && !u.estimate.certain {
		return 0, false // the replica probably had more of the prompt in its cache than is known
	}
	return took, true
}

// release removes the attempt from the replica's load. Calls after the first do nothing. The
// backlog keeps the prompt.
func (u *replicaUse) release() {
	if u.released {
		return
	}
	u.released = true
	u.replica.inFlight--
	u.replica.inFlightTokens -= u.tokens
}
