package gateway

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/gateway/execution"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/routing"
)

// serveOffer handles peer.KindOffer: another gateway offers a request, and this one
// grants the offer if it can reserve capacity for the request. A granted offer that is
// sent again gets the same reply.
func (g *Gateway) serveOffer(ctx context.Context, _ string, decode func(any) error) (any, error) {
	var offer peer.Offer
	if err := decode(&offer); err != nil {
		return nil, err
	}
	if reply, ok := g.offers.reply(offer.OfferID); ok {
		return &reply, nil
	}
	reply, failure := g.grantOffer(ctx, &offer)
	if failure != nil {
		reply = &peer.OfferReply{Error: failure, Incarnation: g.options.Info.Incarnation}
	}
	return reply, nil
}

// grantOffer validates an offer and reserves a replica for its request.
func (g *Gateway) grantOffer(ctx context.Context, offer *peer.Offer) (*peer.OfferReply, *api.Error) {
	if failure := g.checkAccepting(); failure != nil {
		return nil, failure
	}
	offer.Request.WaitMS = offer.RemainingMS
	if failure := checkGenerate(&offer.Request); failure != nil {
		return nil, failure
	}
	if !planted.Active(planted.IgnoreHome) && len(offer.HomeRegions) > 0 && !slices.Contains(offer.HomeRegions, g.region()) {
		return nil, newError(api.CodeHomeUnavailable, api.OutcomeRefused, "region %s is not one of the request's home regions", g.region())
	}
	active := g.agent.Active()
	if active.Version() < offer.ConfigurationVersion && !g.agent.ConfirmVersion(offer.ConfigurationVersion) {
		return nil, newRetryableError(api.CodeNoLease, "configuration version %d is not active here yet", offer.ConfigurationVersion)
	}
	route, failure := g.router.Resolve(offer.Request, time.Now())
	if failure != nil {
		return nil, failure
	}
	reservation, failure := g.acquireForOffer(ctx, offer, route)
	if failure != nil {
		return nil, failure
	}
	return g.recordGrant(offer, route, reservation)
}

// acquireForOffer reserves a replica for the request of an offer. The request waits in
// the queue only if the offer allows it and not too many offers wait already.
func (g *Gateway) acquireForOffer(ctx context.Context, offer *peer.Offer, route routing.Request) (*routing.Reservation, *api.Error) {
	wait := min(time.Duration(offer.WaitMS)*time.Millisecond, maxOfferQueueWait)
	if wait <= 0 {
		return g.router.Reserve(route)
	}
	waitContext, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if !g.offers.beginWait(offer.OfferID, cancel) {
		return g.router.Reserve(route)
	}
	reservation, failure := g.router.Acquire(waitContext, route)
	if !g.offers.endWait(offer.OfferID) && reservation != nil {
		reservation.Finish(routing.ResultCanceled, nil, time.Now())
		return nil, newError(api.CodeCanceled, api.OutcomeRefused, "the offer was withdrawn")
	}
	if failure != nil && failure.Code == api.CodeCanceled {
		return nil, newRetryableError(api.CodeOverloaded, "region %s had no free capacity in time", g.region())
	}
	return reservation, failure
}

// recordGrant adds a granted offer to the table and returns the reply to the offer.
func (g *Gateway) recordGrant(offer *peer.Offer, route routing.Request, reservation *routing.Reservation) (*peer.OfferReply, *api.Error) {
	now := g.options.Clock()
	remaining := time.Duration(offer.RemainingMS) * time.Millisecond
	lifetime := min(grantTimeout, remaining)
	reply := peer.OfferReply{Granted: true, ReservationMS: lifetime.Milliseconds(), Incarnation: g.options.Info.Incarnation}
	granted := &grantedOffer{
		state:          offerPending,
		request:        offer.Request,
		route:          route,
		reservation:    reservation,
		attemptsBefore: max(0, offer.Attempt-1),
		reply:          reply,
		deadline:       route.Deadline,
		expiresAt:      now + lifetime,
		forgetAt:       now + remaining + offerRetention,
	}
	if !g.offers.add(offer.OfferID, granted) {
		reservation.Finish(routing.ResultCanceled, nil, time.Now())
		return nil, newRetryableError(api.CodeOverloaded, "the gateway's table of granted offers is full")
	}
	return &reply, nil
}

// serveWithdraw handles peer.KindWithdraw: it cancels an offer that was not run and
// replies whether the request never ran and never will.
func (g *Gateway) serveWithdraw(_ context.Context, _ string, decode func(any) error) (any, error) {
	var request peer.Withdraw
	if err := decode(&request); err != nil {
		return nil, err
	}
	if request.Incarnation != g.options.Info.Incarnation {
		return &peer.WithdrawReply{}, nil
	}
	return &peer.WithdrawReply{NeverRan: g.offers.cancel(request.OfferID)}, nil
}

// serveRun handles peer.KindRun: it runs the request of a granted offer on replicas of
// this region and sends the output to the peer.
func (g *Gateway) serveRun(ctx context.Context, _ string, decode func(any) error, send func(any) error) error {
	var request peer.Run
	if err := decode(&request); err != nil {
		return err
	}
	if request.Incarnation != g.options.Info.Incarnation {
		return send(&peer.RunEvent{Error: newRetryableError(api.CodeNoCapacity, "the gateway that granted the offer was restarted")})
	}
	granted, failure := g.offers.start(request.OfferID, g.options.Clock())
	if failure != nil {
		return send(&peer.RunEvent{Error: failure})
	}
	follower, failure := g.runGrantedOffer(request.OfferID, granted)
	if failure != nil {
		return send(&peer.RunEvent{Error: failure})
	}
	defer follower.Close()
	err := sendEvents(ctx, follower, send)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// runGrantedOffer starts to run the request of a granted offer. The caller must close the
// follower.
func (g *Gateway) runGrantedOffer(id string, granted *grantedOffer) (*execution.Follower, *api.Error) {
	ctx, cancel := g.detachedContext(granted.deadline)
	run := execution.New(granted.request.RequestID, granted.request.Stream, granted.request.MaxTokens, cancel)
	follower, failure := run.Follow(granted.request.Stream)
	r := &runner{
		gateway:        g,
		request:        granted.request,
		route:          granted.route,
		execution:      run,
		reservation:    granted.reservation,
		forwarded:      true,
		attemptsBefore: granted.attemptsBefore,
	}
	g.activity.begin()
	go func() {
		defer g.activity.end()
		defer cancel(nil)
		r.run(ctx)
		r.releaseReservation()
		if failure := run.Result().Failure; failure != nil && failure.Outcome == api.OutcomeRefused {
			g.offers.recordNeverRan(id)
		}
	}()
	return follower, failure
}
