package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/ticket"
)

// Bounds of the owner's memory.
const (
	maxTickets         = 128 << 10
	maxRetainedBytes   = 8 << 20
	ticketSlack        = 10 * time.Second
	maxAlternates      = 3
	mintTimeout        = 500 * time.Millisecond
	housekeepingPeriod = time.Second
)

// owner remembers the tickets of this process.
type owner struct {
	mutex  sync.Mutex
	ledger *ticket.Table[*execution]
}

func newOwner() *owner {
	return &owner{ledger: ticket.NewTable[*execution](ticket.TableConfig{
		MaxTickets:       maxTickets,
		MaxRetainedBytes: maxRetainedBytes,
		Slack:            ticketSlack,
	})}
}

// housekeep forgets what is over.
func (g *Gateway) housekeep(ctx context.Context) {
	ticker := time.NewTicker(housekeepingPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := g.options.Clock()
		g.owner.mutex.Lock()
		g.owner.ledger.Expire(now)
		g.owner.mutex.Unlock()
		g.offers.expire(now)
	}
}

// submit takes a request from a caller or a peer and returns a reader of its
// output. The reader must be left.
func (g *Gateway) submit(request *api.GenerateRequest) (*follower, *api.Error) {
	if request.Ticket == "" {
		if !request.Repeatable {
			return nil, failed(api.CodeTicketRequired, api.OutcomeRefused, "a request that is not repeatable needs a ticket")
		}
		return g.begin(request, false)
	}
	presented, failure := g.openTicket(request)
	if failure != nil {
		return nil, failure
	}
	if presented.Owner == g.options.Info.Name && presented.Incarnation == g.options.Info.Incarnation {
		return g.use(request, presented)
	}
	return g.passOn(request, presented)
}

// openTicket checks the ticket of a request. One that is not authentic may have
// been made with a key that is no longer accepted, and used then.
func (g *Gateway) openTicket(request *api.GenerateRequest) (ticket.Ticket, *api.Error) {
	presented, err := g.sealer.Load().Open(request.Ticket)
	if errors.Is(err, ticket.ErrNotAuthentic) {
		return presented, failed(api.CodeTicketInvalid, api.OutcomeUnknown, "the ticket is not authentic")
	}
	if err != nil {
		return presented, failed(api.CodeTicketInvalid, api.OutcomeRefused, "the ticket is malformed")
	}
	if presented.RequestID != request.RequestID {
		return presented, failed(api.CodeTicketInvalid, api.OutcomeRefused, "the ticket is for another request id")
	}
	if presented.HomeRule != request.Home || presented.Idempotent != request.Repeatable {
		return presented, failed(api.CodeTicketInvalid, api.OutcomeRefused, "the ticket is for another home rule, or the other kind of repeatable")
	}
	return presented, nil
}

// use presents a ticket to this process's memory.
func (g *Gateway) use(request *api.GenerateRequest, presented ticket.Ticket) (*follower, *api.Error) {
	var reader *follower
	var start func()
	g.owner.mutex.Lock()
	standing, known := g.owner.ledger.Use(g.options.Clock(), presented, digestOf(request), func() *execution {
		var run *execution
		run, start = g.prepare(request, true, false)
		reader, _ = run.follow(request.Stream)
		return run
	})
	g.owner.mutex.Unlock()
	g.metrics.noteStanding(standing)
	switch standing {
	case ticket.UseStart:
		go start()
		return reader, nil
	case ticket.UseJoin:
		return known.follow(request.Stream)
	case ticket.UseExpired:
		return nil, failed(api.CodeTicketExpired, api.OutcomeRefused, "the ticket expired before it was used")
	case ticket.UseUnknown:
		return nil, failed(api.CodeTicketExpired, api.OutcomeUnknown, "the ticket expired and is no longer remembered")
	default:
		return nil, failed(api.CodeDuplicate, api.OutcomeUnknown, "the request id was used for a request with other contents")
	}
}

// begin runs a request that may be repeated and that nobody remembers. ran says
// that it may have run before.
func (g *Gateway) begin(request *api.GenerateRequest, ran bool) (*follower, *api.Error) {
	run, start := g.prepare(request, false, ran)
	reader, failure := run.follow(request.Stream)
	go start()
	return reader, failure
}

// prepare makes an execution and the function that runs it to its end.
func (g *Gateway) prepare(request *api.GenerateRequest, owned, ran bool) (*execution, func()) {
	copied := *request
	copied.Ticket = ""
	ctx, cancel := g.isolate(time.Now().Add(api.Wait(request.WaitMS)))
	run := newExecution(request.RequestID, request.Stream, request.MaxTokens, cancel)
	g.running.begin()
	return run, func() {
		defer g.running.end()
		defer cancel(nil)
		work := &runner{gateway: g, request: copied, execution: run, ran: ran}
		g.resolveAndRun(ctx, work, owned)
		if !owned {
			return
		}
		g.owner.mutex.Lock()
		g.owner.ledger.Finish(request.RequestID, run.result.state())
		g.owner.mutex.Unlock()
	}
}

func (g *Gateway) resolveAndRun(ctx context.Context, work *runner, owned bool) {
	check := g.mayAccept
	if owned && g.honors() {
		check = g.mayPlace
	}
	failure := check()
	if failure == nil {
		work.route, failure = g.router.Resolve(work.request, time.Now())
	}
	if failure != nil {
		work.fail(ctx, failure)
		return
	}
	work.run(ctx)
}

// digestOf tells requests with other contents apart. Waiting time and ticket may
// differ between resends.
func digestOf(request *api.GenerateRequest) uint64 {
	copied := *request
	copied.Ticket = ""
	copied.WaitMS = 0
	encoded, err := json.Marshal(&copied)
	if err != nil {
		return 0 // strings, numbers and booleans always encode
	}
	return xxhash.Sum64(encoded)
}

// passOn hands a request to the process that its ticket names.
func (g *Gateway) passOn(request *api.GenerateRequest, presented ticket.Ticket) (*follower, *api.Error) {
	address, alive := g.ownerAddress(presented)
	if !alive {
		return g.orphaned(request)
	}
	ctx, cancel := g.isolate(time.Now().Add(api.Wait(request.WaitMS)))
	events, err := g.options.Network.OpenStream(ctx, address, peer.KindOwner, &peer.OwnerRequest{Request: *request})
	if err != nil {
		cancel(nil)
		g.log.Debug("ticket owner unreachable", "owner", presented.Owner, "error", err)
		return g.orphaned(request)
	}
	run := newExecution(request.RequestID, request.Stream, request.MaxTokens, cancel)
	reader, failure := run.follow(request.Stream)
	g.running.begin()
	go func() {
		defer g.running.end()
		defer cancel(nil)
		defer closeEvents(events)
		g.copyFromOwner(ctx, events, run)
	}()
	return reader, failure
}

func (g *Gateway) copyFromOwner(ctx context.Context, events streamReader, run *execution) {
	final, err := consume(ctx, events, run)
	if err == nil {
		run.finish(final)
		return
	}
	failure := orphanedFailure(run.requestID)
	if run.pieces() {
		failure.Outcome = api.OutcomeFailed
	}
	run.finish(&result{failure: failure})
}

// ownerAddress finds the process that a ticket names. Any copy will do: a
// process that is not the one named answers so.
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

// orphaned answers a request whose owner is gone. What may be repeated runs
// here; nothing about it is a refusal any more.
func (g *Gateway) orphaned(request *api.GenerateRequest) (*follower, *api.Error) {
	g.metrics.tickets.WithLabelValues("orphaned").Inc()
	if request.Repeatable {
		return g.begin(request, true)
	}
	return nil, orphanedFailure(request.RequestID)
}

func orphanedFailure(requestID string) *api.Error {
	failure := failed(api.CodeTicketOrphaned, api.OutcomeUnknown, "the gateway that owns the ticket is gone, was restarted or cannot be reached")
	failure.RequestID = requestID
	return failure
}

// serveOwner answers a request that another gateway passed to this one.
func (g *Gateway) serveOwner(ctx context.Context, _ string, decode func(any) error, send func(any) error) error {
	var passed peer.OwnerRequest
	if err := decode(&passed); err != nil {
		return err
	}
	request := &passed.Request
	reader, failure := g.serveOwned(request)
	if failure != nil {
		failure.RequestID = request.RequestID
		return send(&peer.RunEvent{Error: failure})
	}
	defer reader.leave()
	return sendEvents(ctx, reader, send)
}

func (g *Gateway) serveOwned(request *api.GenerateRequest) (*follower, *api.Error) {
	if failure := checkGenerate(request); failure != nil {
		return nil, failure
	}
	presented, failure := g.openTicket(request)
	if failure != nil {
		return nil, failure
	}
	if presented.Owner != g.options.Info.Name || presented.Incarnation != g.options.Info.Incarnation {
		return nil, orphanedFailure(request.RequestID)
	}
	return g.use(request, presented)
}
