package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/ticket"
)

// Limits of the ticket table.
const (
	maxTickets = 128 << 10
	// maxRetainedBytes bounds the output of completed requests that is kept for
	// resends.
	maxRetainedBytes = 8 << 20
	// ticketSlack is how long a ticket is remembered after its expiry.
	ticketSlack = 10 * time.Second
)

// ticketStore remembers the tickets of this process.
type ticketStore struct {
	mutex sync.Mutex
	table *ticket.Table[*execution]
}

func newTicketStore() *ticketStore {
	return &ticketStore{table: ticket.NewTable[*execution](ticket.TableConfig{
		MaxTickets:       maxTickets,
		MaxRetainedBytes: maxRetainedBytes,
		Slack:            ticketSlack,
	})}
}

func (g *Gateway) ticketCount() int {
	g.tickets.mutex.Lock()
	defer g.tickets.mutex.Unlock()
	return g.tickets.table.Len()
}

// expiryInterval is the time between two passes over the tickets and reservations
// that have expired.
const expiryInterval = time.Second

// expireState forgets what is over.
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
		g.tickets.mutex.Lock()
		g.tickets.table.Expire(now)
		g.tickets.mutex.Unlock()
		g.reservations.expire(now)
	}
}

// submit takes a request from a caller or a peer and returns a reader of its
// output. The reader must be left.
func (g *Gateway) submit(request *api.GenerateRequest) (*follower, *api.Error) {
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

// openTicket checks the ticket of a request. One that is not authentic may have
// been made with a key that is no longer accepted, and used then.
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
		return presented, newError(api.CodeTicketInvalid, api.OutcomeRefused, "the ticket is for another home rule, or the other kind of repeatable")
	}
	return presented, nil
}

// useTicket presents a ticket to this process's memory.
func (g *Gateway) useTicket(request *api.GenerateRequest, presented ticket.Ticket) (*follower, *api.Error) {
	var reader *follower
	var start func()
	g.tickets.mutex.Lock()
	useResult, joined := g.tickets.table.Use(g.options.Clock(), presented, requestDigest(request), func() *execution {
		var run *execution
		run, start = g.prepareExecution(request, true, false)
		reader, _ = run.follow(request.Stream)
		return run
	})
	g.tickets.mutex.Unlock()
	g.metrics.observeTicketUse(useResult)
	switch useResult {
	case ticket.UseStart:
		go start()
		return reader, nil
	case ticket.UseJoin:
		return joined.follow(request.Stream)
	case ticket.UseExpired:
		return nil, newError(api.CodeTicketExpired, api.OutcomeRefused, "the ticket expired before it was used")
	case ticket.UseUnknown:
		return nil, newError(api.CodeTicketExpired, api.OutcomeUnknown, "the ticket expired and is no longer remembered")
	default:
		return nil, newError(api.CodeDuplicate, api.OutcomeUnknown, "the request id was used for a request with other contents")
	}
}

// runWithoutTicket runs a request that may be repeated and that nobody remembers. ran says
// that it may have run before.
func (g *Gateway) runWithoutTicket(request *api.GenerateRequest, mayHaveRun bool) (*follower, *api.Error) {
	run, start := g.prepareExecution(request, false, mayHaveRun)
	reader, failure := run.follow(request.Stream)
	go start()
	return reader, failure
}

// prepareExecution makes an execution and the function that runs it to its end.
func (g *Gateway) prepareExecution(request *api.GenerateRequest, owned, mayHaveRun bool) (*execution, func()) {
	copied := *request
	copied.Ticket = ""
	ctx, cancel := g.detachedContext(time.Now().Add(api.Wait(request.WaitMS)))
	run := newExecution(request.RequestID, request.Stream, request.MaxTokens, cancel)
	g.active.begin()
	return run, func() {
		defer g.active.end()
		defer cancel(nil)
		r := &runner{gateway: g, request: copied, execution: run, mayHaveRun: mayHaveRun}
		g.resolveAndRun(ctx, r, owned)
		if !owned {
			return
		}
		g.tickets.mutex.Lock()
		g.tickets.table.Finish(request.RequestID, run.result.ticketState())
		g.tickets.mutex.Unlock()
	}
}

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

// requestDigest tells requests with other contents apart. Waiting time and ticket may
// differ between resends.
func requestDigest(request *api.GenerateRequest) uint64 {
	copied := *request
	copied.Ticket = ""
	copied.WaitMS = 0
	encoded, err := json.Marshal(&copied)
	if err != nil {
		return 0 // strings, numbers and booleans always encode
	}
	return xxhash.Sum64(encoded)
}
