package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/routing"
)

// Limits of the reservations for requests of other gateways.
const (
	// reservationTimeout is how long a reservation waits for its run.
	reservationTimeout = time.Second
	// maxReservations bounds the reservations that are remembered.
	maxReservations = 8 << 10
	// maxQueuedOffers bounds the offers that wait for capacity.
	maxQueuedOffers = 256
	// maxOfferQueueWait bounds the wait of one offer, whatever its sender asks for.
	maxOfferQueueWait = 5 * time.Second
	// reservationRetention is how long a reservation is remembered after the deadline of
	// its request.
	reservationRetention = 30 * time.Second
)

// reservationState is the state of a reservation.
type reservationState uint8

const (
	reservationPending   reservationState = iota + 1
	reservationCanceled                   // never ran and never will
	reservationConfirmed                  // is running or has run
)

// reservedRequest is a request of another gateway for which capacity is reserved. On
// the wire it is an offer: granted, then run or withdrawn.
type reservedRequest struct {
	state          reservationState
	request        api.GenerateRequest
	route          routing.Request
	reservation    *routing.Reservation
	attemptsBefore int
	reply          peer.OfferReply
	deadline       time.Time
	expiresAt      time.Duration // unless confirmed; on the gateway's clock
	forgetAt       time.Duration
}

// reservationTable remembers the reservations for requests of other gateways, by the
// id of their offer.
type reservationTable struct {
	mutex        sync.Mutex
	reservations map[string]*reservedRequest
	queued       map[string]*queuedOffer
}

// queuedOffer is an offer that waits for capacity.
type queuedOffer struct {
	cancel   context.CancelFunc
	canceled bool
}

func newReservationTable() *reservationTable {
	return &reservationTable{reservations: make(map[string]*reservedRequest), queued: make(map[string]*queuedOffer)}
}

// beginWait records that an offer waits until cancel is called. It reports false if
// too many do.
func (b *reservationTable) beginWait(id string, cancel context.CancelFunc) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if _, twice := b.queued[id]; twice || len(b.queued) >= maxQueuedOffers {
		return false
	}
	b.queued[id] = &queuedOffer{cancel: cancel}
	return true
}

// endWait records the end of the wait and reports false if the offer was canceled
// meanwhile.
func (b *reservationTable) endWait(id string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	canceled := b.queued[id].canceled
	delete(b.queued, id)
	return !canceled
}

// add remembers a reservation and reports false if the table is full.
func (b *reservationTable) add(id string, o *reservedRequest) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.reservations) >= maxReservations {
		return false
	}
	b.reservations[id] = o
	return true
}

// reply returns the reply that an offer was given before.
func (b *reservationTable) reply(id string) (peer.OfferReply, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	o, ok := b.reservations[id]
	if !ok {
		return peer.OfferReply{}, false
	}
	return o.reply, true
}

// confirm claims a pending reservation for its run, once. The error says what is
// known of one that can't run.
func (b *reservationTable) confirm(id string, now time.Duration) (*reservedRequest, *api.Error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	o, ok := b.reservations[id]
	switch {
	case !ok:
		return nil, newRetryableError(api.CodeNoCapacity, "the reservation is gone")
	case o.state == reservationConfirmed:
		return nil, newError(api.CodeDuplicate, api.OutcomeUnknown, "the offer was run before")
	case o.state == reservationCanceled || now >= o.expiresAt:
		b.cancelPending(o)
		return nil, newRetryableError(api.CodeNoCapacity, "the reservation ran out")
	}
	o.state = reservationConfirmed
	return o, nil
}

// cancelPending releases the capacity of a pending reservation. The caller holds the
// mutex.
func (b *reservationTable) cancelPending(o *reservedRequest) {
	if o.state != reservationPending {
		return
	}
	o.state = reservationCanceled
	o.reservation.Finish(routing.ResultCanceled, nil, time.Now())
	o.reservation = nil
}

// cancel cancels a reservation that was not run and reports whether it never ran and
// never will. One that is not remembered may have run long ago.
func (b *reservationTable) cancel(id string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if queued, ok := b.queued[id]; ok {
		queued.canceled = true
		queued.cancel()
		return true
	}
	o, ok := b.reservations[id]
	if !ok {
		return false
	}
	b.cancelPending(o)
	return o.state == reservationCanceled
}

// recordNeverRan records that a run ended without having reached any replica.
func (b *reservationTable) recordNeverRan(id string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if o, ok := b.reservations[id]; ok {
		o.state = reservationCanceled
	}
}

// expire cancels reservations that were not used in time and forgets old ones.
func (b *reservationTable) expire(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for id, o := range b.reservations {
		if now >= o.expiresAt {
			b.cancelPending(o)
		}
		if now >= o.forgetAt {
			delete(b.reservations, id)
		}
	}
}
