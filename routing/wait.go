package routing

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// await waits until a queued request is granted a reservation or rejected, or until ctx is
// done.
func (r *Router) await(ctx context.Context, w *waiter) (*Reservation, *api.Error) {
	// The timer makes sure that the queue is dispatched even if no other event does so.
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-w.done:
			return w.reservation, w.failure
		case <-ctx.Done():
			return nil, r.cancel(w)
		case <-timer.C:
			r.recheckQueue(w)
			timer.Reset(tickInterval)
		}
	}
}

// recheckQueue dispatches the queue of a waiter unless it was dispatched recently.
func (r *Router) recheckQueue(w *waiter) {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tick(now)
	service := r.services[w.request.Service]
	if service != nil && now.Sub(service.lastDispatch) >= tickInterval/2 {
		service.dispatch(now)
	}
}

// cancel removes a waiter whose context is done from the queue, and finishes a reservation
// that it may have been granted.
func (r *Router) cancel(w *waiter) *api.Error {
	r.mutex.Lock()
	if service := r.services[w.request.Service]; service != nil && service.queue.Remove(w.item) {
		w.setAwaited(nil)
	}
	reservation := w.reservation
	r.mutex.Unlock()
	if reservation != nil {
		reservation.Finish(ResultCanceled, nil, time.Now())
	}
	return rejection(&w.request, api.CodeCanceled, 0, "the request was canceled while it waited for a replica")
}
