package dispatch

import (
	"time"

	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/placement"
)

const (
	// firstHold is the time that a request is taken to occupy a slot before any
	// was seen, in seconds, and holdSmoothing the weight of one that was.
	firstHold     = 0.2
	holdSmoothing = 0.05
	// firstAvoidance is how long a replica is avoided after a failure to reach
	// it. It doubles with each further one, up to longestAvoidance.
	firstAvoidance   = 400 * time.Millisecond
	longestAvoidance = 3 * time.Second
	// fullAvoidance is how long a replica is avoided after it said that it is full.
	fullAvoidance = 100 * time.Millisecond
	// silence is how long a replica with work may send nothing before it is avoided.
	silence = 700 * time.Millisecond
)

// replica is one incarnation of a replica. The dispatcher's mutex guards it.
type replica struct {
	id      string
	key     peer.ReplicaKey
	number  int // in the service's index of prompts; -1 before it has one
	hash    uint64
	service string
	zone    string
	region  string
	address string
	slots   int

	draining  bool
	evacuated bool
	cold      bool
	coldUntil time.Time
	// nextCold is when this gateway may send the next request while it is cold.
	nextCold time.Time
	// replaced is set when another replica was found at its address.
	replaced bool

	inFlight int
	// held are the tokens of all requests under way.
	held    float64
	backlog backlog
	// slowness is its measured time to read, over the expected one, and measured
	// the number of prompts that told it.
	slowness float64
	measured int
	// prompts counts those that it was given by any gateway.
	prompts int
	// claims are the newest prompts that other gateways gave it.
	claims []claim
	// activeSince is when it was last given work while it had none.
	activeSince  time.Time
	failures     int
	avoidedUntil time.Time
	fullUntil    time.Time
}

func newReplica(id string) *replica {
	return &replica{id: id, key: peer.NewReplicaKey(id), number: -1, hash: placement.Hash(id), slowness: 1}
}

// isCold says whether the ramp of cold replicas binds.
func (r *replica) isCold(now time.Time) bool { return r.cold || now.Before(r.coldUntil) }

// silent says whether a replica with work has sent nothing for too long.
func (r *replica) silent(now, heard time.Time) bool {
	if r.inFlight == 0 {
		return false
	}
	since := r.activeSince
	if heard.After(since) {
		since = heard
	}
	return now.Sub(since) > silence
}

// unreachable notes a failure to reach the replica.
func (r *replica) unreachable(now time.Time) {
	wait := firstAvoidance << min(r.failures, 8)
	r.failures++
	r.avoidedUntil = now.Add(min(wait, longestAvoidance))
}

// reached notes that the replica answered.
func (r *replica) reached() {
	r.failures = 0
	r.avoidedUntil = time.Time{}
}

// learn takes one measured slowness in, whoever measured it. The first ones
// weigh as much as what was assumed before them.
func (r *replica) learn(slowness float64) {
	r.measured++
	weight := max(1/float64(r.measured+1), leastLearning)
	slowness = min(max(slowness, leastSlowness), mostSlowness)
	r.slowness += weight * (slowness - r.slowness)
}

// give adds a prompt to what the replica has to read.
func (r *replica) give(now time.Time, reading time.Duration) {
	r.prompts++
	r.backlog.add(now, reading)
}

// work is one attempt's part of a replica's load.
type work struct {
	replica *replica
	own     reading
	reading time.Duration // of its own prompt
	ahead   time.Duration // the backlog when it was placed
	prompts int           // the replica's count with this one
	held    float64
	began   time.Time
	opened  bool // its first event was seen
	ended   bool
}

// take counts an attempt on a replica.
func (r *replica) take(now time.Time, own reading, held float64) *work {
	if r.inFlight == 0 {
		r.activeSince = now
	}
	w := &work{replica: r, own: own, ahead: r.backlog.left(now), held: held, began: now}
	w.reading = time.Duration(own.seconds() * r.slowness * float64(time.Second))
	r.inFlight++
	r.held += held
	r.give(now, w.reading)
	w.prompts = r.prompts
	return w
}

// open notes that the prompt was read. It returns the time that this took, in
// seconds, and false if other prompts, the network or an unknown cache had too large
// a part in it.
func (w *work) open(now time.Time) (took float64, measured bool) {
	if w.opened {
		return 0, false
	}
	w.opened = true
	expected := w.own.seconds()
	alone := w.prompts == w.replica.prompts && w.ahead.Seconds() <= aloneAhead*expected
	if expected < measuredReading || !alone {
		return 0, false
	}
	took = now.Sub(w.began).Seconds()
	if took < w.own.pace.start+uncertainSlowness*expected && !w.own.certain {
		return 0, false // more likely it held parts that this gateway does not know of
	}
	return took, true
}

// end takes the attempt off the replica.
func (w *work) end() {
	if w.ended {
		return
	}
	w.ended = true
	w.replica.inFlight--
	w.replica.held -= w.held
}
