package dispatch

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

// Gateways that place prompts at the same moment would select the same replica, because
// they do not yet know of each other's placements. A gateway therefore announces the
// placement of a long prompt to the other gateways and waits for confirmationDelay before it
// sends the prompt. If the announcement of another gateway for the same replica arrives in
// this time, the longer prompt keeps the replica, and the other gateway cancels its
// placement and selects again.

const (
	// minConfirmedPrefill is the shortest prefill, in seconds, whose placement waits for
	// conflicting announcements.
	minConfirmedPrefill = 0.1
	// confirmationDelay is how long a placement waits for conflicting announcements, and
	// how long before the placement such an announcement may have arrived.
	confirmationDelay = 5 * time.Millisecond
	// announcedPromptTTL is how long announcements of other gateways are retained.
	announcedPromptTTL = 4 * confirmationDelay
)

// announcedPrompt is a prompt that another gateway has announced as placed at a replica.
type announcedPrompt struct {
	receivedAt time.Time
	gateway    peer.ReplicaKey
	prefill    time.Duration
}

// precedes reports whether this prompt takes precedence over a prompt with the given
// prefill time that the given gateway has placed at the same replica. The longer prefill
// wins, and the lower gateway key on a tie. Prefill times are announced in whole
// milliseconds, so the comparison truncates them to give the same result at both gateways.
func (p *announcedPrompt) precedes(prefill time.Duration, gateway peer.ReplicaKey) bool {
	prefill = prefill.Truncate(time.Millisecond)
	if p.prefill != prefill {
		return p.prefill > prefill
	}
	return p.gateway < gateway
}

// addAnnouncedPrompt records a prompt that another gateway has announced, and removes those
// that are too old to conflict with a placement of this gateway.
func (r *replica) addAnnouncedPrompt(now time.Time, gateway peer.ReplicaKey, prefill time.Duration) {
	recent := r.announcedPrompts[:0]
	for _, prompt := range r.announcedPrompts {
		if now.Sub(prompt.receivedAt) < announcedPromptTTL {
			recent = append(recent, prompt)
		}
	}
	recent = append(recent, announcedPrompt{receivedAt: now, gateway: gateway, prefill: prefill})
	r.announcedPrompts = recent
}

// confirmPlacement waits for announcements that conflict with the placement of a long
// prompt. It returns the attempt itself or, if another gateway's prompt takes precedence, a
// new attempt at the replica that is then selected.
func (t *transaction) confirmPlacement(ctx context.Context, attempt *placedAttempt) (*placedAttempt, *RequestError) {
	if attempt.load.estimate.seconds() < minConfirmedPrefill {
		return attempt, nil
	}
	timer := time.NewTimer(confirmationDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return attempt, nil
	}
	if !t.cancelIfPreceded(attempt) {
		return attempt, nil
	}
	return t.place()
}

// cancelIfPreceded cancels the placement of an attempt if the prompt of another gateway takes
// precedence over it, and reports whether it did.
func (t *transaction) cancelIfPreceded(attempt *placedAttempt) bool {
	d := t.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	conflictsSince := attempt.load.began.Add(-confirmationDelay)
	gateway := peer.NewReplicaKey(d.options.Gateway)
	for i := range attempt.replica.announcedPrompts {
		other := &attempt.replica.announcedPrompts[i]
		if other.receivedAt.After(conflictsSince) && other.precedes(attempt.load.prefill, gateway) {
			d.cancelPlacement(attempt)
			delete(t.tried, attempt.replica.id)
			return true
		}
	}
	return false
}

// cancelPlacement removes an attempt that was not sent from its replica's load, and
// announces the removal to the other gateways. The caller holds the Dispatcher's mutex.
func (d *Dispatcher) cancelPlacement(attempt *placedAttempt) {
	attempt.load.release()
	attempt.replica.backlog.add(time.Now(), -attempt.load.prefill)
	if d.options.OnPlaced != nil {
		d.options.OnPlaced(peer.PlacedPrompt{
			Replica:   attempt.replica.key,
			PrefillMS: -int(attempt.load.prefill.Milliseconds()),
		})
	}
}
