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

// Limits for forwarding requests to other gateways.
const (
	// maxPeersTried bounds how many gateways of one region are tried.
	maxPeersTried = 2
	// offerTimeout bounds the wait for the reply to an offer, in addition to the time that
	// the request may wait in the other gateway's queue.
	offerTimeout = 500 * time.Millisecond
	// withdrawTimeout bounds the wait for the confirmation of a withdrawal.
	withdrawTimeout = time.Second
)

// peersInRegion returns up to limit other available gateways of a region, in random
// order.
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

// forwardToRegion forwards the request to a gateway of another region. The request may
// wait there in the queue for up to wait.
func (r *runner) forwardToRegion(ctx context.Context, region string, wait time.Duration) attemptResult {
	lastResult := notStarted(newRetryableError(api.CodeNoCapacity, "no gateway of region %s can be reached", region))
	for _, member := range r.gateway.peersInRegion(region, maxPeersTried) {
		outcome := r.forward(ctx, member, wait)
		if outcome.status != statusNotStarted || ctx.Err() != nil {
			return outcome
		}
		lastResult = outcome
		wait = 0 // only the first gateway that is tried may queue the request
		if !outcome.unsent {
			break // a gateway of the region replied, so no other one is tried
		}
	}
	return lastResult
}

// forward offers the request to another gateway and, if that grants the offer, runs the
// request there. A granted offer that is not run expires, so nothing runs if the reply
// to the offer is lost.
func (r *runner) forward(ctx context.Context, member catalog.Gateway, wait time.Duration) attemptResult {
	g := r.gateway
	offer := r.newOffer()
	offer.WaitMS = wait.Milliseconds()
	callContext, cancel := context.WithTimeout(ctx, offerTimeout+wait)
	var reply peer.OfferReply
	err := g.options.Network.Call(callContext, member.PeerAddress, peer.KindOffer, offer, &reply)
	cancel()
	if err != nil {
		g.metrics.spills.WithLabelValues("unanswered").Inc()
		if wait > 0 {
			g.withdrawInBackground(member.PeerAddress, offer.OfferID, member.Incarnation)
		}
		return notSent(newRetryableError(api.CodeNoCapacity, "the other gateway did not reply to the offer"))
	}
	if !reply.Granted {
		g.metrics.spills.WithLabelValues("declined").Inc()
		return notStarted(declinedFailure(reply.Error))
	}
	if failure := g.checkServing(); failure != nil {
		g.withdrawInBackground(member.PeerAddress, offer.OfferID, reply.Incarnation)
		return notSent(failure)
	}
	return r.runOffer(ctx, member.PeerAddress, offer.OfferID, reply.Incarnation)
}

// declinedFailure returns the error for an offer that was declined. Its outcome is
// api.OutcomeRefused, since a declined request was not run.
func declinedFailure(failure *api.Error) *api.Error {
	if failure == nil {
		return newRetryableError(api.CodeNoCapacity, "the other gateway declined the offer")
	}
	copied := *failure
	copied.Outcome = api.OutcomeRefused // an offer does not run the request
	return &copied
}

// newOffer returns the message that offers the request to another gateway.
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

// withdrawInBackground withdraws an offer that will not be run, without waiting for the
// confirmation.
func (g *Gateway) withdrawInBackground(address, offerID, incarnation string) {
	g.activity.begin()
	go func() {
		defer g.activity.end()
		g.withdrawOffer(g.runContext, address, offerID, incarnation)
	}()
}

// withdrawOffer withdraws an offer and reports whether the peer confirmed that the
// request never ran there and never will.
func (g *Gateway) withdrawOffer(ctx context.Context, address, offerID, incarnation string) bool {
	callContext, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	var reply peer.WithdrawReply
	request := &peer.Withdraw{OfferID: offerID, Incarnation: incarnation}
	err := g.options.Network.Call(callContext, address, peer.KindWithdraw, request, &reply)
	return err == nil && reply.NeverRan
}

// runOffer runs the request of a granted offer at the peer that granted it, and copies
// the output to the execution.
func (r *runner) runOffer(ctx context.Context, address, offerID, incarnation string) attemptResult {
	g := r.gateway
	streamContext, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := g.options.Network.OpenStream(streamContext, address, peer.KindRun, &peer.Run{OfferID: offerID, Incarnation: incarnation})
	if err != nil {
		g.withdrawInBackground(address, offerID, incarnation)
		g.metrics.spills.WithLabelValues("unanswered").Inc()
		return notSent(newRetryableError(api.CodeNoCapacity, "the other gateway could not be reached"))
	}
	defer closeStream(events)
	r.retryAvailable = false
	final, err := copyEvents(streamContext, events, r.execution)
	if err != nil {
		return r.classifyForwardError(ctx, address, offerID, incarnation)
	}
	return r.completeForward(final)
}

// completeForward returns the result of a forwarded request for which the peer sent a
// result.
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

// classifyForwardError returns the result of a forwarded request whose events ended
// before its result. Only a confirmed withdrawal means that the request never ran.
func (r *runner) classifyForwardError(ctx context.Context, address, offerID, incarnation string) attemptResult {
	g := r.gateway
	g.metrics.spills.WithLabelValues("broken").Inc()
	if r.execution.HasOutput() {
		failure := newError(api.CodeReplicaBroken, api.OutcomeFailed, "the connection to the other gateway broke")
		r.mayHaveRun = true
		r.deliver(&execution.Result{Failure: failure})
		return attemptResult{status: statusDelivered}
	}
	if ctx.Err() == nil && g.withdrawOffer(ctx, address, offerID, incarnation) {
		return notStarted(newRetryableError(api.CodeNoCapacity, "the connection to the other gateway broke before the request ran"))
	}
	r.remoteAttempts++
	return r.recordIndeterminate(newError(api.CodeReplicaBroken, api.OutcomeUnknown, "the connection to the other gateway broke"))
}
