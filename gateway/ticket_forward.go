package gateway

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/gateway/execution"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/ticket"
)

// forwardToOwner forwards a request to the gateway that issued its ticket, the owner.
func (g *Gateway) forwardToOwner(request *api.GenerateRequest, presented ticket.Ticket) (*execution.Follower, *api.Error) {
	address, found := g.ownerAddress(presented)
	if !found {
		return g.handleOrphanedTicket(request)
	}
	ctx, cancel := g.detachedContext(time.Now().Add(api.Wait(request.WaitMS)))
	events, err := g.options.Network.OpenStream(ctx, address, peer.KindOwner, &peer.OwnerRequest{Request: *request})
	if err != nil {
		cancel(nil)
		g.log.Debug("ticket owner unreachable", "owner", presented.Owner, "error", err)
		return g.handleOrphanedTicket(request)
	}
	run := execution.New(request.RequestID, request.Stream, request.MaxTokens, cancel)
	follower, failure := run.Follow(request.Stream)
	g.activity.begin()
	go func() {
		defer g.activity.end()
		defer cancel(nil)
		defer closeStream(events)
		g.copyOwnerEvents(ctx, events, run)
	}()
	return follower, failure
}

// copyOwnerEvents copies the output and the result that the owner sends to an execution.
func (g *Gateway) copyOwnerEvents(ctx context.Context, events eventReader, run *execution.Execution) {
	final, err := copyEvents(ctx, events, run)
	if err == nil {
		run.Finish(final)
		return
	}
	failure := orphanedTicketFailure(run.RequestID)
	if run.HasOutput() {
		failure.Outcome = api.OutcomeFailed
	}
	run.Finish(&execution.Result{Failure: failure})
}

// ownerAddress returns the peer address of the process that issued a ticket. An outdated
// address does no harm, because any other process refuses the ticket.
func (g *Gateway) ownerAddress(presented ticket.Ticket) (string, bool) {
	active := g.agent.Active()
	if active == nil {
		return "", false
	}
	record, known := active.Gateways()[presented.Owner]
	if !known || record.Incarnation != presented.Incarnation {
		return "", false
	}
	return record.PeerAddress, true
}

// handleOrphanedTicket handles a request whose owner no longer exists or cannot be
// reached. A repeatable request runs here. It may have run at the owner, so its outcome
// must not be api.OutcomeRefused.
func (g *Gateway) handleOrphanedTicket(request *api.GenerateRequest) (*execution.Follower, *api.Error) {
	g.metrics.tickets.WithLabelValues("orphaned").Inc()
	if request.Repeatable {
		return g.runWithoutTicket(request, true)
	}
	return nil, orphanedTicketFailure(request.RequestID)
}

// orphanedTicketFailure returns the error for a ticket whose owner no longer exists or
// cannot be reached.
func orphanedTicketFailure(requestID string) *api.Error {
	failure := newError(api.CodeTicketOrphaned, api.OutcomeUnknown, "the gateway that issued the ticket was removed, was restarted or cannot be reached")
	failure.RequestID = requestID
	return failure
}

// serveOwner handles peer.KindOwner: another gateway forwards a request to this one, which
// issued its ticket.
func (g *Gateway) serveOwner(ctx context.Context, _ string, decode func(any) error, send func(any) error) error {
	var forwarded peer.OwnerRequest
	if err := decode(&forwarded); err != nil {
		return err
	}
	request := &forwarded.Request
	follower, failure := g.acceptForwarded(request)
	if failure != nil {
		failure.RequestID = request.RequestID
		return send(&peer.RunEvent{Error: failure})
	}
	defer follower.Close()
	return sendEvents(ctx, follower, send)
}

// acceptForwarded validates a request that was forwarded to its owner, and uses its
// ticket.
func (g *Gateway) acceptForwarded(request *api.GenerateRequest) (*execution.Follower, *api.Error) {
	if failure := checkGenerate(request); failure != nil {
		return nil, failure
	}
	presented, failure := g.openTicket(request)
	if failure != nil {
		return nil, failure
	}
	if presented.Owner != g.options.Info.Name || presented.Incarnation != g.options.Info.Incarnation {
		return nil, orphanedTicketFailure(request.RequestID)
	}
	return g.useTicket(request, presented)
}
