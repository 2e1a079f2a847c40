package dispatch

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

// Gateways that decide at the same moment select the same replica as the best. A long
// prompt is therefore reserved before it is sent: the placement is announced to the
// other gateways, and after the time that this takes the selection is made again unless
// the reservation holds. Of two reservations that crossed, the longer one holds.

const (
	// minReservedPrefill is the shortest prefill that is reserved, in seconds.
	minReservedPrefill = 0.1
	// reservationDelay is how long a reservation waits for those that crossed it.
	reservationDelay = 5 * time.Millisecond
	// reservationTTL bounds how long other gateways' reservations are kept.
	reservationTTL = 4 * reservationDelay
)

// reservation is a prompt that another gateway has placed at a replica.
type reservation struct {
	receivedAt time.Time
	gateway    peer.ReplicaKey
	prefill    time.Duration
}

// precedes reports whether the reservation holds against one of the given gateway.
// Prefill times are announced in whole milliseconds, and both sides compare them so.
func (r *reservation) precedes(prefill time.Duration, gateway peer.ReplicaKey) bool {
	prefill = prefill.Truncate(time.Millisecond)
	if r.prefill != prefill {
		return r.prefill > prefill
	}
	return r.gateway < gateway
}

// addReservation records a prompt of another gateway for as long as it may cross one of
// this gateway.
func (r *replica) addReservation(now time.Time, gateway peer.ReplicaKey, prefill time.Duration) {
	kept := r.reservations[:0]
	for _, known := range r.reservations {
		if now.Sub(known.receivedAt) < reservationTTL {
			kept = append(kept, known)
		}
	}
	kept = append(kept, reservation{receivedAt: now, gateway: gateway, prefill: prefill})
	r.reservations = kept
}

// confirm waits for reservations that crossed that of a long prompt. It returns the
// attempt, or one at another replica that takes its place.
func (t *transaction) confirm(ctx context.Context, attempt *placedAttempt) (*placedAttempt, *RequestError) {
	if attempt.use.estimate.seconds() < minReservedPrefill {
		return attempt, nil
	}
	timer := time.NewTimer(reservationDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return attempt, nil
	}
	if !t.yield(attempt) {
		return attempt, nil
	}
	return t.place()
}

// yield cancels an attempt if another gateway's reservation holds against it. It
// reports whether it did.
func (t *transaction) yield(attempt *placedAttempt) bool {
	d := t.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	crossedSince := attempt.use.began.Add(-reservationDelay)
	gateway := peer.NewReplicaKey(d.options.Gateway)
	for i := range attempt.replica.reservations {
		other := &attempt.replica.reservations[i]
		if other.receivedAt.After(crossedSince) && other.precedes(attempt.use.prefill, gateway) {
			d.cancelPlacement(attempt)
			delete(t.tried, attempt.replica.id)
			return true
		}
	}
	return false
}

// cancelPlacement removes an attempt that was not sent from its replica's load, here and
// at the other gateways. The caller holds the mutex.
func (d *Dispatcher) cancelPlacement(attempt *placedAttempt) {
	attempt.use.release()
	attempt.replica.backlog.add(time.Now(), -attempt.use.prefill)
	if d.options.OnPlaced != nil {
		d.options.OnPlaced(peer.PlacedPrompt{
			Replica:   attempt.replica.key,
			PrefillMS: -int(attempt.use.prefill.Milliseconds()),
		})
	}
}
