package dispatch

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

// Gateways decide at the same moment when requests come in clumps, and then take
// the same replica for the best. A long prompt is therefore claimed first: the
// others are told, and after the time that this takes the choice is made again
// unless the claim stands. Of two claims that crossed, the longer one stands.

const (
	// claimedReading is the least reading that is claimed, in seconds.
	claimedReading = 0.1
	// claimTime is how long a claim waits for those that crossed it.
	claimTime = 5 * time.Millisecond
	// claimAge bounds how long other gateways' claims are kept.
	claimAge = 4 * claimTime
)

// claim is a prompt that another gateway has given to a replica.
type claim struct {
	at      time.Time
	gateway peer.ReplicaKey
	reading time.Duration
}

// precedes says whether the claim stands against one of the own gateway. Readings
// are told in whole milliseconds, and compared so on both sides.
func (c *claim) precedes(reading time.Duration, gateway peer.ReplicaKey) bool {
	reading = reading.Truncate(time.Millisecond)
	if c.reading != reading {
		return c.reading > reading
	}
	return c.gateway < gateway
}

// noteClaim keeps another gateway's claim for as long as it may cross an own one.
func (r *replica) noteClaim(now time.Time, gateway peer.ReplicaKey, reading time.Duration) {
	kept := r.claims[:0]
	for _, known := range r.claims {
		if now.Sub(known.at) < claimAge {
			kept = append(kept, known)
		}
	}
	kept = append(kept, claim{at: now, gateway: gateway, reading: reading})
	r.claims = kept
}

// claim waits for claims that crossed the attempt's own. It returns the attempt,
// or the one that takes its place at another replica.
func (r *run) claim(ctx context.Context, at *placed) (*placed, *RequestError) {
	if at.work.own.seconds() < claimedReading {
		return at, nil
	}
	timer := time.NewTimer(claimTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return at, nil
	}
	if !r.yields(at) {
		return at, nil
	}
	return r.place()
}

// yields takes an attempt off its replica if another gateway's claim stands.
func (r *run) yields(at *placed) bool {
	d := r.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	since := at.work.began.Add(-claimTime)
	own := peer.NewReplicaKey(d.options.Gateway)
	for i := range at.replica.claims {
		other := &at.replica.claims[i]
		if other.at.After(since) && other.precedes(at.work.reading, own) {
			d.withdraw(at)
			delete(r.tried, at.replica.id)
			return true
		}
	}
	return false
}

// withdraw takes an attempt back that was not sent.
func (d *Dispatcher) withdraw(at *placed) {
	at.work.end()
	at.replica.backlog.add(time.Now(), -at.work.reading)
	if d.options.OnPlaced != nil {
		d.options.OnPlaced(peer.PlacedPrompt{Replica: at.replica.key, PrefillMS: -int(at.work.reading.Milliseconds())})
	}
}
