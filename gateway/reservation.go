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

// serveReserve answers an offer of another gateway: it reserves capacity for a
// request. An offer that is sent again gets the reply that it got before.
func (g *Gateway) serveReserve(ctx context.Context, _ string, decode func(any) error) (any, error) {
	var offer peer.Offer
	if err := decode(&offer); err != nil {
		return nil, err
	}
	if reply, ok := g.reservations.reply(offer.OfferID); ok {
		return &reply, nil
	}
	reply, failure := g.reserve(ctx, &offer)
	if failure != nil {
		reply = &peer.OfferReply{Error: failure, Incarnation: g.options.Info.Incarnation}
	}
	return reply, nil
}

// reserve validates an offer and reserves capacity for its request.
func (g *Gateway) reserve(ctx context.Context, offer *peer.Offer) (*peer.OfferReply, *api.Error) {
	if failure := g.checkAccepting(); failure != nil {
		return nil, failure
	}
	offer.Request.WaitMS = offer.RemainingMS
	if failure := checkGenerate(&offer.Request); failure != nil {
		return nil, failure
	}
	if !planted.Active(planted.IgnoreHome) && len(offer.HomeRegions) > 0 && !slices.Contains(offer.HomeRegions, g.region()) {
		return nil, newError(api.CodeHomeUnavailable, api.OutcomeRefused, "region %s is not a home of the request", g.region())
	}
	active := g.agent.Active()
	if active.Version() < offer.ConfigurationVersion && !g.agent.ConfirmVersion(offer.ConfigurationVersion) {
		return nil, newRetryableError(api.CodeNoLease, "configuration %d is not active here yet", offer.ConfigurationVersion)
	}
	route, failure := g.router.Resolve(offer.Request, time.Now())
	if failure != nil {
		return nil, failure
	}
	reservation, failure := g.acquireForOffer(ctx, offer, route)
	if failure != nil {
		return nil, failure
	}
	return g.recordReservation(offer, route, reservation)
}

// acquireForOffer acquires capacity for an offer: at once or, if the offer asks for
// it and not too many wait, through the queue.
func (g *Gateway) acquireForOffer(ctx context.Context, offer *peer.Offer, route routing.Request) (*routing.Reservation, *api.Error) {
	wait := min(time.Duration(offer.WaitMS)*time.Millisecond, maxOfferQueueWait)
	if wait <= 0 {
		return g.router.Reserve(route)
	}
	waitContext, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if !g.reservations.beginWait(offer.OfferID, cancel) {
		return g.router.Reserve(route)
	}
	reservation, failure := g.router.Acquire(waitContext, route)
	if !g.reservations.endWait(offer.OfferID) && reservation != nil {
		reservation.Finish(routing.ResultCanceled, nil, time.Now())
		return nil, newError(api.CodeCanceled, api.OutcomeRefused, "the offer was withdrawn")
	}
	if failure != nil && failure.Code == api.CodeCanceled {
		return nil, newRetryableError(api.CodeOverloaded, "region %s had no room in time", g.region())
	}
	return reservation, failure
}

// recordReservation remembers a reservation and returns the reply.
func (g *Gateway) recordReservation(offer *peer.Offer, route routing.Request, reservation *routing.Reservation) (*peer.OfferReply, *api.Error) {
	now := g.options.Clock()
	remaining := time.Duration(offer.RemainingMS) * time.Millisecond
	lifetime := min(reservationTimeout, remaining)
	reply := peer.OfferReply{Granted: true, ReservationMS: lifetime.Milliseconds(), Incarnation: g.options.Info.Incarnation}
	reserved := &reservedRequest{
		state:          reservationPending,
		request:        offer.Request,
		route:          route,
		reservation:    reservation,
		attemptsBefore: max(0, offer.Attempt-1),
		reply:          reply,
		deadline:       route.Deadline,
		expiresAt:      now + lifetime,
		forgetAt:       now + remaining + reservationRetention,
	}
	if !g.reservations.add(offer.OfferID, reserved) {
		reservation.Finish(routing.ResultCanceled, nil, time.Now())
		return nil, newRetryableError(api.CodeOverloaded, "the gateway remembers as many offers as it can")
	}
	return &reply, nil
}

// serveCancel answers the withdrawal of an offer.
func (g *Gateway) serveCancel(_ context.Context, _ string, decode func(any) error) (any, error) {
	var request peer.Withdraw
	if err := decode(&request); err != nil {
		return nil, err
	}
	if request.Incarnation != g.options.Info.Incarnation {
		return &peer.WithdrawReply{}, nil
	}
	return &peer.WithdrawReply{NeverRan: g.reservations.cancel(request.OfferID)}, nil
}

// serveRun runs a request with a reservation on replicas of this region and sends its
// output.
func (g *Gateway) serveRun(ctx context.Context, _ string, decode func(any) error, send func(any) error) error {
	var request peer.Run
	if err := decode(&request); err != nil {
		return err
	}
	if request.Incarnation != g.options.Info.Incarnation {
		return send(&peer.RunEvent{Error: newRetryableError(api.CodeNoCapacity, "the gateway that granted was restarted")})
	}
	reserved, failure := g.reservations.confirm(request.OfferID, g.options.Clock())
	if failure != nil {
		return send(&peer.RunEvent{Error: failure})
	}
	reader, failure := g.runReservation(request.OfferID, reserved)
	if failure != nil {
		return send(&peer.RunEvent{Error: failure})
	}
	defer reader.Close()
	err := sendEvents(ctx, reader, send)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// runReservation starts the run of a confirmed reservation. The caller must close the
// follower.
func (g *Gateway) runReservation(id string, reserved *reservedRequest) (*execution.Follower, *api.Error) {
	ctx, cancel := g.detachedContext(reserved.deadline)
	run := execution.New(reserved.request.RequestID, reserved.request.Stream, reserved.request.MaxTokens, cancel)
	reader, failure := run.Follow(reserved.request.Stream)
	r := &runner{
		gateway:        g,
		request:        reserved.request,
		route:          reserved.route,
		execution:      run,
		reservation:    reserved.reservation,
		forwarded:      true,
		attemptsBefore: reserved.attemptsBefore,
	}
	g.active.begin()
	go func() {
		defer g.active.end()
		defer cancel(nil)
		r.run(ctx)
		r.releaseReservation()
		if failure := run.Result().Failure; failure != nil && failure.Outcome == api.OutcomeRefused {
			g.reservations.recordNeverRan(id)
		}
	}()
	return reader, failure
}
