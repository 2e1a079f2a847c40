package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/routing"
)

// Bounds of the memory of offers.
const (
	// reservationTimeout is how long a granted reservation waits for its Run.
	reservationTimeout = time.Second
	// maxReservations bounds the offers remembered.
	maxReservations = 8 << 10
	// maxQueuedOffers bounds the offers that wait for room.
	maxQueuedOffers = 256
	// maxOfferQueueWait bounds the wait of one, whatever its sender asks for.
	maxOfferQueueWait = 5 * time.Second
	// reservationRetention is how long an offer is remembered after its request's time.
	reservationRetention = 30 * time.Second
)

// reservationState is how far an offer has come.
type reservationState uint8

const (
	reservationPending   reservationState = iota + 1
	reservationCanceled                   // never ran and never will
	reservationConfirmed                  // was run, or is running
)

type reservedRequest struct {
	state          reservationState
	request        api.GenerateRequest
	route          routing.Request
	reservation    *routing.Reservation
	attemptsBefore int
	reply          peer.OfferReply
	deadline       time.Time
	expiresAt      time.Duration // of the grant
	forgetAt       time.Duration
}

// reservationTable remembers the offers of other regions.
type reservationTable struct {
	mutex        sync.Mutex
	reservations map[string]*reservedRequest
	queued       map[string]*queuedOffer
}

// queuedOffer is one that waits for room.
type queuedOffer struct {
	cancel   context.CancelFunc
	canceled bool
}

func newReservationTable() *reservationTable {
	return &reservationTable{reservations: make(map[string]*reservedRequest), queued: make(map[string]*queuedOffer)}
}

// beginWait notes that an offer waits until cancel is called; false if too many do.
func (b *reservationTable) beginWait(id string, cancel context.CancelFunc) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if _, twice := b.queued[id]; twice || len(b.queued) >= maxQueuedOffers {
		return false
	}
	b.queued[id] = &queuedOffer{cancel: cancel}
	return true
}

// endWait notes the end of the wait; false if the offer was withdrawn meanwhile.
func (b *reservationTable) endWait(id string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	canceled := b.queued[id].canceled
	delete(b.queued, id)
	return !canceled
}

// add remembers a granted offer; false if there is no room.
func (b *reservationTable) add(id string, o *reservedRequest) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.reservations) >= maxReservations {
		return false
	}
	b.reservations[id] = o
	return true
}

// reply returns the answer that an offer was given before.
func (b *reservationTable) reply(id string) (peer.OfferReply, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	o, ok := b.reservations[id]
	if !ok {
		return peer.OfferReply{}, false
	}
	return o.reply, true
}

// confirm starts a granted offer, once. Otherwise it says what is known of it.
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

// cancelPending lets the reservation of an offer go. The caller holds the lock.
func (b *reservationTable) cancelPending(o *reservedRequest) {
	if o.state != reservationPending {
		return
	}
	o.state = reservationCanceled
	o.reservation.Finish(routing.ResultCanceled, nil, time.Now())
	o.reservation = nil
}

// cancel ends an offer that was not run; true if it never ran and never will.
// One that is not remembered may have run long ago.
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

// recordNeverRan notes that a run ended without having reached any replica.
func (b *reservationTable) recordNeverRan(id string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if o, ok := b.reservations[id]; ok {
		o.state = reservationCanceled
	}
}

// expire kills grants that were not used and forgets old offers.
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
