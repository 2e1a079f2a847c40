package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/gateway/execution"
	"github.com/deckpulley/deckpulley/ticket"
)

// expiryInterval is the time between two removals of expired tickets and offers.
const expiryInterval = time.Second

// expireState removes expired tickets and offers at each interval until ctx ends.
func (g *Gateway) expireState(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := g.options.Clock()
		g.tickets.expire(now)
		g.offers.expire(now)
	}
}

// submit accepts a request of a caller. It returns a follower of the execution, which
// must be closed.
func (g *Gateway) submit(request *api.GenerateRequest) (*execution.Follower, *api.Error) {
	if request.Ticket == "" {
		if !request.Repeatable {
			return nil, newError(api.CodeTicketRequired, api.OutcomeRefused, "a request that is not repeatable needs a ticket")
		}
		return g.runWithoutTicket(request, false)
	}
	presented, failure := g.openTicket(request)
	if failure != nil {
		return nil, failure
	}
	if presented.Owner == g.options.Info.Name && presented.Incarnation == g.options.Info.Incarnation {
		return g.useTicket(request, presented)
	}
	return g.forwardToOwner(request, presented)
}

// openTicket decrypts the ticket of a request and verifies that it belongs to the
// request. The outcome for a ticket that is not authentic is unknown: it may have been
// issued and used with a key that is no longer accepted.
func (g *Gateway) openTicket(request *api.GenerateRequest) (ticket.Ticket, *api.Error) {
	presented, err := g.sealer.Load().Open(request.Ticket)
	if errors.Is(err, ticket.ErrNotAuthentic) {
		return presented, newError(api.CodeTicketInvalid, api.OutcomeUnknown, "the ticket is not authentic")
	}
	if err != nil {
		return presented, newError(api.CodeTicketInvalid, api.OutcomeRefused, "the ticket is malformed")
	}
	if presented.RequestID != request.RequestID {
		return presented, newError(api.CodeTicketInvalid, api.OutcomeRefused, "the ticket is for another request id")
	}
	if presented.HomeRule != request.Home || presented.Idempotent != request.Repeatable {
		return presented, newError(api.CodeTicketInvalid, api.OutcomeRefused, "the ticket is for another home rule, or for a request with another value of repeatable")
	}
	return presented, nil
}

// useTicket runs a request whose ticket this process issued, or joins its execution if
// the ticket was already used.
func (g *Gateway) useTicket(request *api.GenerateRequest, presented ticket.Ticket) (*execution.Follower, *api.Error) {
	var follower *execution.Follower
	var start func()
	useResult, joined := g.tickets.use(presented, requestDigest(request), func() *execution.Execution {
		var run *execution.Execution
		run, start = g.prepareExecution(request, true, false)
		follower, _ = run.Follow(request.Stream)
		return run
	})
	g.metrics.observeTicketUse(useResult)
	switch useResult {
	case ticket.UseStart:
		go start()
		return follower, nil
	case ticket.UseJoin:
		return joined.Follow(request.Stream)
	case ticket.UseExpired:
		return nil, newError(api.CodeTicketExpired, api.OutcomeRefused, "the ticket expired before it was used")
	case ticket.UseUnknown:
		return nil, newError(api.CodeTicketExpired, api.OutcomeUnknown, "the ticket expired and its record was removed")
	default:
		return nil, newError(api.CodeDuplicate, api.OutcomeUnknown, "the request id was used for a request with different contents")
	}
}

// runWithoutTicket runs a repeatable request without adding it to the ticket store, so
// that a resend runs again. mayHaveRun means that it may already have run elsewhere.
func (g *Gateway) runWithoutTicket(request *api.GenerateRequest, mayHaveRun bool) (*execution.Follower, *api.Error) {
	run, start := g.prepareExecution(request, false, mayHaveRun)
	follower, failure := run.Follow(request.Stream)
	go start()
	return follower, failure
}

// prepareExecution returns an execution and a function that runs it to its end, which the
// caller must call. The two steps are separate because the execution is prepared while the
// ticket store is locked. owned means that this gateway issued the ticket of the request.
func (g *Gateway) prepareExecution(request *api.GenerateRequest, owned, mayHaveRun bool) (*execution.Execution, func()) {
	copied := *request
	copied.Ticket = ""
	ctx, cancel := g.detachedContext(time.Now().Add(api.Wait(request.WaitMS)))
	run := execution.New(request.RequestID, request.Stream, request.MaxTokens, cancel)
	g.activity.begin()
	return run, func() {
		defer g.activity.end()
		defer cancel(nil)
		r := &runner{gateway: g, request: copied, execution: run, mayHaveRun: mayHaveRun}
		g.resolveAndRun(ctx, r, owned)
		if owned {
			g.tickets.finish(request.RequestID, run.Result().TicketState())
		}
	}
}

// resolveAndRun runs the request if the gateway accepts it. In the ticket grace period a
// draining gateway still accepts requests with tickets that it issued.
func (g *Gateway) resolveAndRun(ctx context.Context, r *runner, owned bool) {
	check := g.checkAccepting
	if owned && g.inTicketGracePeriod() {
		check = g.checkServing
	}
	failure := check()
	if failure == nil {
		r.route, failure = g.router.Resolve(r.request, time.Now())
	}
	if failure != nil {
		r.fail(ctx, failure)
		return
	}
	r.run(ctx)
}

// requestDigest returns a hash of a request's contents, which detects a different request
// with the same id. The waiting time and the ticket are left out, since they may differ
// between resends.
func requestDigest(request *api.GenerateRequest) uint64 {
	copied := *request
	copied.Ticket = ""
	copied.WaitMS = 0
	encoded, err := json.Marshal(&copied)
	if err != nil {
		return 0 // can't happen: all fields can be encoded
	}
	return xxhash.Sum64(encoded)
}
