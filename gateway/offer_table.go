package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/routing"
)

// Limits for the offers of other gateways.
const (
	// grantTimeout is how long a granted offer waits for the peer to run it. After that its
	// reservation is released.
	grantTimeout = time.Second
	// maxGrantedOffers bounds the granted offers in the table.
	maxGrantedOffers = 8 << 10
	// maxQueuedOffers bounds the offers that wait in the queue for capacity.
	maxQueuedOffers = 256
	// maxOfferQueueWait bounds the wait of one offer in the queue, even if its sender allows
	// more.
	maxOfferQueueWait = 5 * time.Second
	// offerRetention is how long a granted offer stays in the table after the deadline of
	// its request.
	offerRetention = 30 * time.Second
)

// offerState is the state of a granted offer.
type offerState uint8

const (
	offerPending  offerState = iota + 1
	offerCanceled            // withdrawn, expired or refused: the request never ran and never will
	offerStarted             // the request is running or has run
)

// grantedOffer is an offer of another gateway, in the sense of peer.Offer, that this
// gateway has granted: it holds the reservation of a replica until the peer runs the
// offer or withdraws it, or until it expires.
type grantedOffer struct {
	state          offerState
	request        api.GenerateRequest
	route          routing.Request
	reservation    *routing.Reservation
	attemptsBefore int
	reply          peer.OfferReply
	deadline       time.Time
	expiresAt      time.Duration // of a pending offer; on Options.Clock
	forgetAt       time.Duration // when the offer is removed from the table; on Options.Clock
}

// offerTable holds the offers of other gateways that this gateway has granted or that
// wait for capacity here. It is safe for concurrent use.
type offerTable struct {
	mutex   sync.Mutex
	granted map[string]*grantedOffer // by offer id
	queued  map[string]*queuedOffer  // by offer id
}

// queuedOffer is an offer whose request waits in the queue for capacity.
type queuedOffer struct {
	cancel   context.CancelFunc
	canceled bool
}

func newOfferTable() *offerTable {
	return &offerTable{granted: make(map[string]*grantedOffer), queued: make(map[string]*queuedOffer)}
}

// beginWait records that an offer waits for capacity; cancel ends the wait. It reports
// false if the offer waits already or too many do.
func (t *offerTable) beginWait(id string, cancel context.CancelFunc) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, waiting := t.queued[id]; waiting || len(t.queued) >= maxQueuedOffers {
		return false
	}
	t.queued[id] = &queuedOffer{cancel: cancel}
	return true
}

// endWait records that an offer no longer waits. It reports false if the offer was
// canceled while it waited.
func (t *offerTable) endWait(id string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	canceled := t.queued[id].canceled
	delete(t.queued, id)
	return !canceled
}

// add adds a granted offer. It reports false if the table is full.
func (t *offerTable) add(id string, offer *grantedOffer) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.granted) >= maxGrantedOffers {
		return false
	}
	t.granted[id] = offer
	return true
}

// reply returns the reply that an offer got when it was granted, if it is in the table.
func (t *offerTable) reply(id string) (peer.OfferReply, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	offer, ok := t.granted[id]
	if !ok {
		return peer.OfferReply{}, false
	}
	return offer.reply, true
}

// start marks a pending offer as started and returns it. An offer starts at most once. The
// error for one that can't be started has the outcome refused if it never ran and never
// will, otherwise unknown.
func (t *offerTable) start(id string, now time.Duration) (*grantedOffer, *api.Error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	offer, ok := t.granted[id]
	switch {
	case !ok:
		return nil, newRetryableError(api.CodeNoCapacity, "the gateway has no record of this offer")
	case offer.state == offerStarted:
		return nil, newError(api.CodeDuplicate, api.OutcomeUnknown, "the offer was already run")
	case offer.state == offerCanceled || now >= offer.expiresAt:
		t.cancelPending(offer)
		return nil, newRetryableError(api.CodeNoCapacity, "the offer was withdrawn or has expired")
	}
	offer.state = offerStarted
	return offer, nil
}

// cancelPending cancels an offer and releases its reservation, if it is pending. The
// caller holds the mutex.
func (t *offerTable) cancelPending(offer *grantedOffer) {
	if offer.state != offerPending {
		return
	}
	offer.state = offerCanceled
	offer.reservation.Finish(routing.ResultCanceled, nil, time.Now())
	offer.reservation = nil
}

// cancel cancels an offer that was not started, and reports whether its request never ran
// and never will. It reports false for an unknown offer, which may have run and been
// removed from the table since.
func (t *offerTable) cancel(id string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if queued, ok := t.queued[id]; ok {
		queued.canceled = true
		queued.cancel()
		return true
	}
	offer, ok := t.granted[id]
	if !ok {
		return false
	}
	t.cancelPending(offer)
	return offer.state == offerCanceled
}

// recordNeverRan records that a started offer ended with a refusal, so that its request
// never ran on any replica.
func (t *offerTable) recordNeverRan(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if offer, ok := t.granted[id]; ok {
		offer.state = offerCanceled
	}
}

// expire cancels the pending offers that have expired and removes old offers from the
// table.
func (t *offerTable) expire(now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id, offer := range t.granted {
		if now >= offer.expiresAt {
			t.cancelPending(offer)
		}
		if now >= offer.forgetAt {
			delete(t.granted, id)
		}
	}
}
