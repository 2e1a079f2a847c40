package gateway

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/routing"
)

// Bounds of the memory of offers.
const (
	// grantLife is how long a granted reservation waits for its Run.
	grantLife = time.Second
	// maxOffers bounds the offers remembered.
	maxOffers = 8 << 10
	// maxWaitingOffers bounds the offers that wait for room.
	maxWaitingOffers = 256
	// maxOfferWait bounds the wait of one, whatever its sender asks for.
	maxOfferWait = 5 * time.Second
	// offerMemory is how long an offer is remembered after its request's time.
	offerMemory = 30 * time.Second
)

// offerState is how far an offer has come.
type offerState uint8

const (
	offerGranted offerState = iota + 1
	offerDead               // never ran and never will
	offerRun                // was run, or is running
)

type offer struct {
	state    offerState
	request  api.GenerateRequest
	route    routing.Request
	slot     *routing.Reservation
	before   int
	reply    peer.OfferReply
	deadline time.Time
	expires  time.Duration // of the grant
	forget   time.Duration
}

// offerBook remembers the offers of other regions.
type offerBook struct {
	mutex   sync.Mutex
	offers  map[string]*offer
	waiting map[string]*waitingOffer
}

// waitingOffer is one that waits for room.
type waitingOffer struct {
	cancel    context.CancelFunc
	withdrawn bool
}

func newOfferBook() *offerBook {
	return &offerBook{offers: make(map[string]*offer), waiting: make(map[string]*waitingOffer)}
}

// wait notes that an offer waits until cancel is called; false if too many do.
func (b *offerBook) wait(id string, cancel context.CancelFunc) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if _, twice := b.waiting[id]; twice || len(b.waiting) >= maxWaitingOffers {
		return false
	}
	b.waiting[id] = &waitingOffer{cancel: cancel}
	return true
}

// waited notes the end of the wait; false if the offer was withdrawn meanwhile.
func (b *offerBook) waited(id string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	withdrawn := b.waiting[id].withdrawn
	delete(b.waiting, id)
	return !withdrawn
}

// add remembers a granted offer; false if there is no room.
func (b *offerBook) add(id string, o *offer) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.offers) >= maxOffers {
		return false
	}
	b.offers[id] = o
	return true
}

// known returns the answer that an offer was given before.
func (b *offerBook) known(id string) (peer.OfferReply, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	o, ok := b.offers[id]
	if !ok {
		return peer.OfferReply{}, false
	}
	return o.reply, true
}

// take starts a granted offer, once. Otherwise it says what is known of it.
func (b *offerBook) take(id string, now time.Duration) (*offer, *api.Error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	o, ok := b.offers[id]
	switch {
	case !ok:
		return nil, refusedLater(api.CodeNoCapacity, "the reservation is gone")
	case o.state == offerRun:
		return nil, failed(api.CodeDuplicate, api.OutcomeUnknown, "the offer was run before")
	case o.state == offerDead || now >= o.expires:
		b.kill(o)
		return nil, refusedLater(api.CodeNoCapacity, "the reservation ran out")
	}
	o.state = offerRun
	return o, nil
}

// kill lets the reservation of an offer go. The caller holds the lock.
func (b *offerBook) kill(o *offer) {
	if o.state != offerGranted {
		return
	}
	o.state = offerDead
	o.slot.Finish(routing.ResultCanceled, nil, time.Now())
	o.slot = nil
}

// withdraw ends an offer that was not run; true if it never ran and never will.
// One that is not remembered may have run long ago.
func (b *offerBook) withdraw(id string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if waiting, ok := b.waiting[id]; ok {
		waiting.withdrawn = true
		waiting.cancel()
		return true
	}
	o, ok := b.offers[id]
	if !ok {
		return false
	}
	b.kill(o)
	return o.state == offerDead
}

// neverRan notes that a run ended without having reached any replica.
func (b *offerBook) neverRan(id string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if o, ok := b.offers[id]; ok {
		o.state = offerDead
	}
}

// expire kills grants that were not used and forgets old offers.
func (b *offerBook) expire(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for id, o := range b.offers {
		if now >= o.expires {
			b.kill(o)
		}
		if now >= o.forget {
			delete(b.offers, id)
		}
	}
}

// serveOffer reserves a place for another region's request.
func (g *Gateway) serveOffer(ctx context.Context, _ string, decode func(any) error) (any, error) {
	var asked peer.Offer
	if err := decode(&asked); err != nil {
		return nil, err
	}
	if reply, ok := g.offers.known(asked.OfferID); ok {
		return &reply, nil
	}
	reply, failure := g.grant(ctx, &asked)
	if failure != nil {
		reply = &peer.OfferReply{Error: failure, Incarnation: g.options.Info.Incarnation}
	}
	return reply, nil
}

func (g *Gateway) grant(ctx context.Context, asked *peer.Offer) (*peer.OfferReply, *api.Error) {
	if failure := g.mayAccept(); failure != nil {
		return nil, failure
	}
	asked.Request.WaitMS = asked.RemainingMS
	if failure := checkGenerate(&asked.Request); failure != nil {
		return nil, failure
	}
	if !planted.Active(planted.IgnoreHome) && len(asked.HomeRegions) > 0 && !slices.Contains(asked.HomeRegions, g.region()) {
		return nil, failed(api.CodeHomeUnavailable, api.OutcomeRefused, "region %s is not a home of the request", g.region())
	}
	active := g.agent.Active()
	if active.Version() < asked.ConfigurationVersion && !g.agent.ConfirmVersion(asked.ConfigurationVersion) {
		return nil, refusedLater(api.CodeNoLease, "configuration %d is not active here yet", asked.ConfigurationVersion)
	}
	route, failure := g.router.Resolve(asked.Request, time.Now())
	if failure != nil {
		return nil, failure
	}
	slot, failure := g.reserve(ctx, asked, route)
	if failure != nil {
		return nil, failure
	}
	return g.remember(asked, route, slot)
}

// reserve finds room for an offer, at once or, if it asks for that and not too
// many do, by a place in the queue.
func (g *Gateway) reserve(ctx context.Context, asked *peer.Offer, route routing.Request) (*routing.Reservation, *api.Error) {
	wait := min(time.Duration(asked.WaitMS)*time.Millisecond, maxOfferWait)
	if wait <= 0 {
		return g.router.Reserve(route)
	}
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if !g.offers.wait(asked.OfferID, cancel) {
		return g.router.Reserve(route)
	}
	slot, failure := g.router.Acquire(waiting, route)
	if !g.offers.waited(asked.OfferID) && slot != nil {
		slot.Finish(routing.ResultCanceled, nil, time.Now())
		return nil, failed(api.CodeCanceled, api.OutcomeRefused, "the offer was withdrawn")
	}
	if failure != nil && failure.Code == api.CodeCanceled {
		return nil, refusedLater(api.CodeOverloaded, "region %s had no room in time", g.region())
	}
	return slot, failure
}

func (g *Gateway) remember(asked *peer.Offer, route routing.Request, slot *routing.Reservation) (*peer.OfferReply, *api.Error) {
	now := g.options.Clock()
	left := time.Duration(asked.RemainingMS) * time.Millisecond
	life := min(grantLife, left)
	reply := peer.OfferReply{Granted: true, ReservationMS: life.Milliseconds(), Incarnation: g.options.Info.Incarnation}
	reserved := &offer{
		state:    offerGranted,
		request:  asked.Request,
		route:    route,
		slot:     slot,
		before:   max(0, asked.Attempt-1),
		reply:    reply,
		deadline: route.Deadline,
		expires:  now + life,
		forget:   now + left + offerMemory,
	}
	if !g.offers.add(asked.OfferID, reserved) {
		slot.Finish(routing.ResultCanceled, nil, time.Now())
		return nil, refusedLater(api.CodeOverloaded, "the gateway remembers as many offers as it can")
	}
	return &reply, nil
}

func (g *Gateway) serveWithdraw(_ context.Context, _ string, decode func(any) error) (any, error) {
	var asked peer.Withdraw
	if err := decode(&asked); err != nil {
		return nil, err
	}
	if asked.Incarnation != g.options.Info.Incarnation {
		return &peer.WithdrawReply{}, nil
	}
	return &peer.WithdrawReply{NeverRan: g.offers.withdraw(asked.OfferID)}, nil
}

// serveRun runs a granted offer on replicas of this region.
func (g *Gateway) serveRun(ctx context.Context, _ string, decode func(any) error, send func(any) error) error {
	var asked peer.Run
	if err := decode(&asked); err != nil {
		return err
	}
	if asked.Incarnation != g.options.Info.Incarnation {
		return send(&peer.RunEvent{Error: refusedLater(api.CodeNoCapacity, "the gateway that granted was restarted")})
	}
	granted, failure := g.offers.take(asked.OfferID, g.options.Clock())
	if failure != nil {
		return send(&peer.RunEvent{Error: failure})
	}
	reader, failure := g.beginOffer(asked.OfferID, granted)
	if failure != nil {
		return send(&peer.RunEvent{Error: failure})
	}
	defer reader.leave()
	err := sendEvents(ctx, reader, send)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func (g *Gateway) beginOffer(id string, granted *offer) (*follower, *api.Error) {
	ctx, cancel := g.isolate(granted.deadline)
	run := newExecution(granted.request.RequestID, granted.request.Stream, granted.request.MaxTokens, cancel)
	reader, failure := run.follow(granted.request.Stream)
	work := &runner{
		gateway:   g,
		request:   granted.request,
		route:     granted.route,
		execution: run,
		slot:      granted.slot,
		spilled:   true,
		before:    granted.before,
	}
	g.running.begin()
	go func() {
		defer g.running.end()
		defer cancel(nil)
		work.run(ctx)
		work.release()
		if run.result.failure != nil && run.result.failure.Outcome == api.OutcomeRefused {
			g.offers.neverRan(id)
		}
	}()
	return reader, failure
}

// release gives a reservation back that was not used.
func (r *runner) release() {
	if r.slot != nil {
		r.slot.Finish(routing.ResultCanceled, nil, time.Now())
		r.slot = nil
	}
}
