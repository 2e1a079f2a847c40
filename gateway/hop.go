package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/stream"
)

// Bounds of a hop to another region.
const (
	// maxPeersTried bounds the gateways of one region that are asked.
	maxPeersTried = 2
	// offerTimeout bounds the wait for the answer to an offer.
	offerTimeout = 500 * time.Millisecond
	// withdrawTimeout bounds the wait for a withdrawal to be confirmed.
	withdrawTimeout = time.Second
)

// streamReader is the receiving end of a transport stream.
type streamReader interface {
	Next(into any) error
	Close() error
}

// closeEvents gives a stream up; its connection is then closed or reused, and
// neither matters to the request.
func closeEvents(events streamReader) { _ = events.Close() }

// errNotAnswer means that a peer sent events that make no answer.
var errNotAnswer = errors.New("gateway: peer's events do not belong together")

// consume copies a peer's events into an execution, checking that they belong
// together, and returns the result that ends them.
func consume(ctx context.Context, events streamReader, run *execution) (*result, error) {
	order := stream.SequenceChecker{RequestID: run.requestID}
	for {
		var event peer.RunEvent
		if err := events.Next(&event); err != nil {
			return nil, fmt.Errorf("gateway: peer's events: %w", err)
		}
		switch {
		case event.Chunk != nil:
			if err := order.CheckChunk(event.Chunk); err != nil {
				return nil, err
			}
			data, err := json.Marshal(event.Chunk)
			if err != nil {
				return nil, fmt.Errorf("gateway: encoding a piece: %w", err)
			}
			if err := run.piece(ctx, data); err != nil {
				return nil, err
			}
		case event.End != nil:
			return &result{end: event.End, attempts: event.Attempts}, order.CheckEnd(event.End)
		case event.Answer != nil && event.Answer.RequestID == run.requestID && order.Chunks() == 0:
			return &result{answer: event.Answer, attempts: event.Attempts}, nil
		case event.Error != nil:
			return &result{failure: event.Error, attempts: event.Attempts}, nil //nolint:nilerr // the failure is the result of the run, not of reading it
		default:
			return nil, errNotAnswer
		}
	}
}

// sendEvents copies an execution's output to a peer.
func sendEvents(ctx context.Context, reader *follower, send func(any) error) error {
	for {
		frames, ended, err := reader.next(ctx)
		if err != nil {
			return err
		}
		if ended != nil {
			return send(&peer.RunEvent{Answer: ended.answer, End: ended.end, Error: ended.failure, Attempts: ended.attempts})
		}
		err = eachPiece(frames, func(data []byte) error {
			piece := new(api.StreamChunk)
			if err := json.Unmarshal(data, piece); err != nil {
				return fmt.Errorf("gateway: decoding a piece: %w", err)
			}
			return send(&peer.RunEvent{Chunk: piece})
		})
		if err != nil {
			return err
		}
	}
}

// peersIn returns up to limit gateways of a region that can be asked, in an
// order left to chance.
func (g *Gateway) peersIn(region string, limit int) []catalog.Gateway {
	active := g.agent.Active()
	if active == nil {
		return nil
	}
	var members []catalog.Gateway
	for name, member := range active.Gateways() {
		if member.Region == region && name != g.options.Info.Name && usable(active, member) {
			members = append(members, member)
		}
	}
	g.mutex.Lock()
	g.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	g.mutex.Unlock()
	return members[:min(len(members), limit)]
}

// spill hands the request to a gateway of another region: an offer first, then
// the run.
//
// With a wait the request may stand in the other region's queue for so long.
func (r *runner) spill(ctx context.Context, region string, wait time.Duration) verdict {
	last := verdict{
		standing: stoodNotStarted,
		failure:  refusedLater(api.CodeNoCapacity, "no gateway of region %s can be reached", region),
	}
	for _, member := range r.gateway.peersIn(region, maxPeersTried) {
		outcome := r.offer(ctx, member, wait)
		if outcome.standing != stoodNotStarted || ctx.Err() != nil {
			return outcome
		}
		last = outcome
		wait = 0 // spent on a gateway that did not answer
		if !outcome.unsent {
			break // the region has answered
		}
	}
	return last
}

// offer asks one gateway and, if it grants, runs the request there. Nothing runs
// for an offer alone, so that one without an answer can be left to die.
func (r *runner) offer(ctx context.Context, member catalog.Gateway, wait time.Duration) verdict {
	g := r.gateway
	offer := r.newOffer()
	offer.WaitMS = wait.Milliseconds()
	asking, cancel := context.WithTimeout(ctx, offerTimeout+wait)
	var reply peer.OfferReply
	err := g.options.Network.Call(asking, member.PeerAddress, peer.KindOffer, offer, &reply)
	cancel()
	if err != nil {
		g.metrics.spills.WithLabelValues("unanswered").Inc()
		if wait > 0 {
			g.abandonOffer(member.PeerAddress, offer.OfferID, member.Incarnation)
		}
		return verdict{
			standing: stoodNotStarted,
			failure:  refusedLater(api.CodeNoCapacity, "the other region does not answer"),
			unsent:   true,
		}
	}
	if !reply.Granted {
		g.metrics.spills.WithLabelValues("declined").Inc()
		return verdict{standing: stoodNotStarted, failure: declined(reply.Error)}
	}
	if failure := g.mayPlace(); failure != nil {
		g.abandonOffer(member.PeerAddress, offer.OfferID, reply.Incarnation)
		return verdict{standing: stoodNotStarted, failure: failure, unsent: true}
	}
	return r.runAt(ctx, member.PeerAddress, offer.OfferID, reply.Incarnation)
}

func declined(failure *api.Error) *api.Error {
	if failure == nil {
		return refusedLater(api.CodeNoCapacity, "the other region takes nothing")
	}
	copied := *failure
	copied.Outcome = api.OutcomeRefused // an offer runs nothing
	return &copied
}

func (r *runner) newOffer() *peer.Offer {
	g := r.gateway
	info := g.options.Info
	request := r.request
	left := max(1, time.Until(r.route.Deadline).Milliseconds())
	request.WaitMS = min(left, api.MaxWaitMS)
	offer := &peer.Offer{
		OfferID:     fmt.Sprintf("%s/%s/%d", info.Name, info.Incarnation, g.counter.Add(1)),
		From:        info.Name,
		Request:     request,
		HomeRegions: r.route.Home,
		RemainingMS: left,
		Attempt:     r.made() + 1,
		Incarnation: info.Incarnation,
	}
	if active := g.agent.Active(); active != nil {
		offer.ConfigurationVersion = active.Version()
	}
	return offer
}

// abandonOffer tells a peer that a grant will not be used. Nobody waits for it.
func (g *Gateway) abandonOffer(address, offerID, incarnation string) {
	g.running.begin()
	go func() {
		defer g.running.end()
		g.withdraw(g.work, address, offerID, incarnation)
	}()
}

// withdraw reports whether the peer confirmed that the offer never ran and
// never will.
func (g *Gateway) withdraw(ctx context.Context, address, offerID, incarnation string) bool {
	asking, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	var reply peer.WithdrawReply
	request := &peer.Withdraw{OfferID: offerID, Incarnation: incarnation}
	err := g.options.Network.Call(asking, address, peer.KindWithdraw, request, &reply)
	return err == nil && reply.NeverRan
}

// runAt runs a granted offer and copies its output.
func (r *runner) runAt(ctx context.Context, address, offerID, incarnation string) verdict {
	g := r.gateway
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := g.options.Network.OpenStream(running, address, peer.KindRun, &peer.Run{OfferID: offerID, Incarnation: incarnation})
	if err != nil {
		g.abandonOffer(address, offerID, incarnation)
		g.metrics.spills.WithLabelValues("unanswered").Inc()
		return verdict{
			standing: stoodNotStarted,
			failure:  refusedLater(api.CodeNoCapacity, "the other region cannot be reached"),
			unsent:   true,
		}
	}
	defer closeEvents(events)
	r.spare = false
	final, err := consume(running, events, r.execution)
	if err != nil {
		return r.hopBroke(ctx, address, offerID, incarnation)
	}
	return r.hopEnded(final)
}

func (r *runner) hopEnded(final *result) verdict {
	failure := final.failure
	if failure == nil {
		r.gateway.metrics.spills.WithLabelValues("answered").Inc()
		r.deliver(final)
		return verdict{standing: stoodDone}
	}
	r.gateway.metrics.spills.WithLabelValues("failed").Inc()
	r.hops += final.attempts
	if r.execution.pieces() {
		copied := *failure
		copied.Outcome = api.OutcomeFailed
		r.deliver(&result{failure: &copied})
		return verdict{standing: stoodDone}
	}
	if failure.Outcome == api.OutcomeRefused {
		return verdict{standing: stoodNotStarted, failure: failure}
	}
	if final.attempts == 0 {
		r.hops++
	}
	return r.broken(failure)
}

// hopBroke judges a run whose events broke off. Only a confirmed withdrawal
// makes it one that never ran.
func (r *runner) hopBroke(ctx context.Context, address, offerID, incarnation string) verdict {
	g := r.gateway
	g.metrics.spills.WithLabelValues("broken").Inc()
	if r.execution.pieces() {
		failure := failed(api.CodeReplicaBroken, api.OutcomeFailed, "the connection to the other region broke")
		r.ran = true
		r.deliver(&result{failure: failure})
		return verdict{standing: stoodDone}
	}
	if ctx.Err() == nil && g.withdraw(ctx, address, offerID, incarnation) {
		return verdict{
			standing: stoodNotStarted,
			failure:  refusedLater(api.CodeNoCapacity, "the connection to the other region broke before the run"),
		}
	}
	r.hops++
	return r.broken(failed(api.CodeReplicaBroken, api.OutcomeUnknown, "the connection to the other region broke"))
}
