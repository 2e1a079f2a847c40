package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/admission"
	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/placement"
)

// waiter is a request that is to be granted a reservation, and may be queued for it.
type waiter struct {
	request     Request
	chain       []placement.Link
	work        placement.Work
	item        *admission.Item[*waiter]
	queuedAt    time.Time
	done        chan struct{} // closed once reservation or failure is set
	reservation *Reservation
	failure     *api.Error
	awaited     *replica // the replica that it waits for
}

// newWaiter returns the waiter of a request, with the prefix chain and the work by which
// replicas are chosen.
func newWaiter(request Request) *waiter {
	w := &waiter{request: request, chain: placement.Chain(request.Prefixes)}
	w.work.Tokens = promptTokens(&request)
	w.work.AffinityHash = placement.Hash(request.ID)
	if link, ok := placement.AffinityLink(w.chain); ok {
		w.work.AffinityHash = link.Hash
		w.work.AffinityTokens = float64(link.Tokens)
	}
	return w
}

// grant wakes the waiter with a reservation.
func (w *waiter) grant(reservation *Reservation) {
	w.setAwaited(nil)
	w.reservation = reservation
	close(w.done)
}

// reject wakes the waiter with an error.
func (w *waiter) reject(failure *api.Error) {
	w.setAwaited(nil)
	w.failure = failure
	close(w.done)
}

// setAwaited records which replica the waiter waits for, nil for none.
func (w *waiter) setAwaited(target *replica) {
	if w.awaited != nil {
		w.awaited.waiters--
	}
	w.awaited = target
	if target != nil {
		target.waiters++
	}
}
