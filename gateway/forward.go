package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/gateway/execution"
	"github.com/deckpulley/deckpulley/peer"
)

// Limits of forwarding to another region.
const (
	// maxPeersTried bounds the gateways of one region that are asked.
	maxPeersTried = 2
	// reserveTimeout bounds the wait for the reply to an offer, beside queueing.
	reserveTimeout = 500 * time.Millisecond
	// cancelTimeout bounds the wait for the confirmation of a cancellation.
	cancelTimeout = time.Second
)

// peersInRegion returns up to limit available gateways of a region, in random order.
func (g *Gateway) peersInRegion(region string, limit int) []catalog.Gateway {
	active := g.agent.Active()
	if active == nil {
		return nil
	}
	var members []catalog.Gateway
	for name, member := range active.Gateways() {
		if member.Region == region && name != g.options.Info.Name && isAvailable(active, member) {
			members = append(members, member)
		}
	}
	g.mutex.Lock()
	g.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	g.mutex.Unlock()
	return members[:min(len(members), limit)]
}

// forwardToRegion forwards the request to a gateway of another region, in whose queue
// the request may wait.
func (r *runner) forwardToRegion(ctx context.Context, region string, wait time.Duration) attemptResult {
	lastResult := notStarted(newRetryableError(api.CodeNoCapacity, "no gateway of region %s can be reached", region))
	for _, member := range r.gateway.peersInRegion(region, maxPeersTried) {
		outcome := r.forward(ctx, member, wait)
		if outcome.status != statusNotStarted || ctx.Err() != nil {
			return outcome
		}
		lastResult = outcome
		wait = 0 // used up by a gateway that did not answer
		if !outcome.unsent {
			break // the region has answered
		}
	}
	return lastResult
}

// forward reserves capacity at one gateway and, if that is granted, runs the request
// there. A reservation alone runs nothing, so that one without a reply may expire.
func (r *runner) forward(ctx context.Context, member catalog.Gateway, wait time.Duration) attemptResult {
	g := r.gateway
	offer := r.newOffer()
	offer.WaitMS = wait.Milliseconds()
	callContext, cancel := context.WithTimeout(ctx, reserveTimeout+wait)
	var reply peer.OfferReply
	err := g.options.Network.Call(callContext, member.PeerAddress, peer.KindOffer, offer, &reply)
	cancel()
	if err != nil {
		g.metrics.spills.WithLabelValues("unanswered").Inc()
		if wait > 0 {
			g.cancelUnused(member.PeerAddress, offer.OfferID, member.Incarnation)
		}
		return notSent(newRetryableError(api.CodeNoCapacity, "the other region does not answer"))
	}
	if !reply.Granted {
		g.metrics.spills.WithLabelValues("declined").Inc()
		return notStarted(declinedFailure(reply.Error))
	}
	if failure := g.checkServing(); failure != nil {
		g.cancelUnused(member.PeerAddress, offer.OfferID, reply.Incarnation)
		return notSent(failure)
	}
	return r.runReserved(ctx, member.PeerAddress, offer.OfferID, reply.Incarnation)
}

// declinedFailure returns the refusal of a declined offer, which ran nothing.
func declinedFailure(failure *api.Error) *api.Error {
	if failure == nil {
		return newRetryableError(api.CodeNoCapacity, "the other region takes nothing")
	}
	copied := *failure
	copied.Outcome = api.OutcomeRefused // an offer runs nothing
	return &copied
}

// newOffer returns the message that requests a reservation.
func (r *runner) newOffer() *peer.Offer {
	g := r.gateway
	info := g.options.Info
	request := r.request
	remaining := max(1, time.Until(r.route.Deadline).Milliseconds())
	request.WaitMS = min(remaining, api.MaxWaitMS)
	offer := &peer.Offer{
		OfferID:     fmt.Sprintf("%s/%s/%d", info.Name, info.Incarnation, g.offerSequence.Add(1)),
		From:        info.Name,
		Request:     request,
		HomeRegions: r.route.Home,
		RemainingMS: remaining,
		Attempt:     r.attemptsMade() + 1,
		Incarnation: info.Incarnation,
	}
	if active := g.agent.Active(); active != nil {
		offer.ConfigurationVersion = active.Version()
	}
	return offer
}

// cancelUnused cancels a reservation in the background.
func (g *Gateway) cancelUnused(address, offerID, incarnation string) {
	g.active.begin()
	go func() {
		defer g.active.end()
		g.cancelReservation(g.runContext, address, offerID, incarnation)
	}()
}

// cancelReservation reports whether the peer confirmed that the reserved request
// never ran and never will.
func (g *Gateway) cancelReservation(ctx context.Context, address, offerID, incarnation string) bool {
	callContext, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	var reply peer.WithdrawReply
	request := &peer.Withdraw{OfferID: offerID, Incarnation: incarnation}
	err := g.options.Network.Call(callContext, address, peer.KindWithdraw, request, &reply)
	return err == nil && reply.NeverRan
}

// runReserved runs a request with a reservation at a peer and copies its output.
func (r *runner) runReserved(ctx context.Context, address, offerID, incarnation string) attemptResult {
	g := r.gateway
	streamContext, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := g.options.Network.OpenStream(streamContext, address, peer.KindRun, &peer.Run{OfferID: offerID, Incarnation: incarnation})
	if err != nil {
		g.cancelUnused(address, offerID, incarnation)
		g.metrics.spills.WithLabelValues("unanswered").Inc()
		return notSent(newRetryableError(api.CodeNoCapacity, "the other region cannot be reached"))
	}
	defer closeStream(events)
	r.retryAvailable = false
	final, err := copyEvents(streamContext, events, r.execution)
	if err != nil {
		return r.classifyForwardError(ctx, address, offerID, incarnation)
	}
	return r.completeForward(final)
}

// completeForward returns the result of a run that its peer completed.
func (r *runner) completeForward(final *execution.Result) attemptResult {
	failure := final.Failure
	if failure == nil {
		r.gateway.metrics.spills.WithLabelValues("answered").Inc()
		r.deliver(final)
		return attemptResult{status: statusDelivered}
	}
	r.gateway.metrics.spills.WithLabelValues("failed").Inc()
	r.remoteAttempts += final.Attempts
	if r.execution.HasOutput() {
		copied := *failure
		copied.Outcome = api.OutcomeFailed
		r.deliver(&execution.Result{Failure: &copied})
		return attemptResult{status: statusDelivered}
	}
	if failure.Outcome == api.OutcomeRefused {
		return notStarted(failure)
	}
	if final.Attempts == 0 {
		r.remoteAttempts++
	}
	return r.recordIndeterminate(failure)
}

// classifyForwardError returns the result of a run whose events broke off. Only a
// confirmed cancellation means that it never ran.
func (r *runner) classifyForwardError(ctx context.Context, address, offerID, incarnation string) attemptResult {
	g := r.gateway
	g.metrics.spills.WithLabelValues("broken").Inc()
	if r.execution.HasOutput() {
		failure := newError(api.CodeReplicaBroken, api.OutcomeFailed, "the connection to the other region broke")
		r.mayHaveRun = true
		r.deliver(&execution.Result{Failure: failure})
		return attemptResult{status: statusDelivered}
	}
	if ctx.Err() == nil && g.cancelReservation(ctx, address, offerID, incarnation) {
		return notStarted(newRetryableError(api.CodeNoCapacity, "the connection to the other region broke before the run"))
	}
	r.remoteAttempts++
	return r.recordIndeterminate(newError(api.CodeReplicaBroken, api.OutcomeUnknown, "the connection to the other region broke"))
}
