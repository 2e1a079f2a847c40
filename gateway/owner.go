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
	"github.com/deckpulley/deckpulley/places"
	"github.com/deckpulley/deckpulley/ticket"
)

// Bounds of the owner's memory.
const (
	maxTickets         = 32 << 10
	maxRetainedBytes   = 8 << 20
	ticketSlack        = 10 * time.Second
	maxAlternates      = 3
	mintTimeout        = 500 * time.Millisecond
	housekeepingPeriod = time.Second
)

// owner remembers the tickets of this process.
type owner struct {
	mutex  sync.Mutex
	ledger *ticket.Ledger[*execution]
}

func newOwner() *owner {
	return &owner{ledger: ticket.NewLedger[*execution](ticket.LedgerConfig{
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

// where answers where a request should go: with a ticket of this gateway, or of
// one in the region that serves it best. A gateway that leaves gives no tickets
// of its own.
func (g *Gateway) where(ctx context.Context, request *api.WhereRequest) (*api.WhereAnswer, *api.Error) {
	refused := g.mayPlace()
	if refused != nil && !g.mayRefer() {
		return nil, refused
	}
	route, failure := g.router.Resolve(asGenerate(request), time.Now())
	if failure != nil {
		return nil, failure
	}
	regions := g.router.Regions(route)
	if len(regions) == 0 {
		return nil, g.router.Refusal(route)
	}
	for _, region := range regions {
		if region == g.region() && refused == nil && g.mayOwn() {
			break
		}
		if answer := g.mintElsewhere(ctx, region, request); answer != nil {
			return answer, nil
		}
	}
	if refused != nil {
		return nil, refused
	}
	return g.mint(request)
}

// mayRefer tells that the gateway is leaving but still knows the others.
func (g *Gateway) mayRefer() bool {
	return g.draining.Load() && g.agent.Valid() && g.agent.Active() != nil
}

// asGenerate is the part of a request that is known when asking where to go.
func asGenerate(request *api.WhereRequest) api.GenerateRequest {
	return api.GenerateRequest{
		RequestID:  request.RequestID,
		Tenant:     request.Tenant,
		Model:      request.Model,
		Prefixes:   request.Prefixes,
		Home:       request.Home,
		Client:     request.Client,
		WaitMS:     request.WaitMS,
		Repeatable: request.Repeatable,
	}
}

// mayOwn is false in an evacuated zone: its tickets would die with it.
func (g *Gateway) mayOwn() bool {
	active := g.agent.Active()
	return active != nil && !active.Evacuated(g.options.Info.Zone)
}

// mintElsewhere asks gateways of a region, two at the most, to own the request.
func (g *Gateway) mintElsewhere(ctx context.Context, region string, request *api.WhereRequest) *api.WhereAnswer {
	for _, member := range g.peersIn(region, maxPeersTried) {
		asking, cancel := context.WithTimeout(ctx, mintTimeout)
		var reply peer.MintTicketReply
		err := g.options.Network.Call(asking, member.PeerAddress, peer.KindMintTicket, &peer.MintTicket{Request: *request}, &reply)
		cancel()
		if err == nil && reply.Answer != nil {
			return reply.Answer
		}
	}
	return nil
}

func (g *Gateway) serveMint(_ context.Context, _ string, decode func(any) error) (any, error) {
	var request peer.MintTicket
	if err := decode(&request); err != nil {
		return nil, err
	}
	if failure := checkWhere(&request.Request); failure != nil {
		return &peer.MintTicketReply{Error: failure}, nil
	}
	if failure := g.mayPlace(); failure != nil {
		return &peer.MintTicketReply{Error: failure}, nil
	}
	if !g.mayOwn() {
		return &peer.MintTicketReply{Error: refusedLater(api.CodeNotReady, comeBack, "the zone is evacuated")}, nil
	}
	answer, failure := g.mint(&request.Request)
	return &peer.MintTicketReply{Answer: answer, Error: failure}, nil
}

// mint makes a ticket that this process owns.
func (g *Gateway) mint(request *api.WhereRequest) (*api.WhereAnswer, *api.Error) {
	now := g.options.Clock()
	wait := waitOf(request.WaitMS)
	fresh := ticket.Ticket{
		RequestID:   request.RequestID,
		Owner:       g.options.Info.Name,
		Incarnation: g.options.Info.Incarnation,
		Home:        request.Home,
		Repeatable:  request.Repeatable,
		IssuedAt:    now,
		Expires:     now + wait,
	}
	g.owner.mutex.Lock()
	issued, err := g.owner.ledger.Issue(now, fresh)
	g.owner.mutex.Unlock()
	if err != nil {
		return nil, issueFailure(request.RequestID, err)
	}
	text, err := g.sealer.Load().Seal(issued)
	if err != nil {
		return nil, failed(api.CodeInternal, api.OutcomeRefused, "sealing the ticket: %v", err)
	}
	answer := &api.WhereAnswer{
		RequestID:   request.RequestID,
		Ticket:      text,
		Gateway:     g.options.Info.HTTPAddress,
		Alternates:  g.alternates(),
		Region:      g.region(),
		ExpiresInMS: max(0, (issued.Expires - now).Milliseconds()),
	}
	if active := g.agent.Active(); active != nil {
		answer.ConfigurationVersion = active.Version()
	}
	g.metrics.tickets.WithLabelValues("issued").Inc()
	return answer, nil
}

func issueFailure(requestID string, err error) *api.Error {
	var failure *api.Error
	switch {
	case errors.Is(err, ticket.ErrFull):
		failure = refusedLater(api.CodeOverloaded, comeBack, "the gateway remembers as many requests as it can")
	case errors.Is(err, ticket.ErrClosed):
		failure = failed(api.CodeDuplicate, api.OutcomeRefused, "the request was refused for good: ask again with a new request id")
	default:
		failure = failed(api.CodeDuplicate, api.OutcomeUnknown, "the request id is in use for another request")
	}
	failure.RequestID = requestID
	return failure
}

func waitOf(waitMS int64) time.Duration {
	if waitMS <= 0 {
		waitMS = api.DefaultWaitMillis
	}
	return time.Duration(waitMS) * time.Millisecond
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
	if presented.Home != request.Home || presented.Repeatable != request.Repeatable {
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
	case ticket.StandingRun:
		go start()
		return reader, nil
	case ticket.StandingJoin:
		return known.follow(request.Stream)
	case ticket.StandingExpired:
		return nil, failed(api.CodeTicketExpired, api.OutcomeRefused, "the ticket expired before it was used")
	case ticket.StandingForgotten:
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
	ctx, cancel := g.isolate(time.Now().Add(waitOf(request.WaitMS)))
	run := newExecution(request.RequestID, request.Stream, cancel)
	g.running.begin()
	return run, func() {
		defer g.running.end()
		defer cancel(nil)
		work := &runner{gateway: g, request: copied, execution: run, ran: ran}
		g.resolveAndRun(ctx, work)
		if !owned {
			return
		}
		g.owner.mutex.Lock()
		g.owner.ledger.Finish(request.RequestID, run.result.state())
		g.owner.mutex.Unlock()
	}
}

func (g *Gateway) resolveAndRun(ctx context.Context, work *runner) {
	failure := g.mayPlace()
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
	ctx, cancel := g.isolate(time.Now().Add(waitOf(request.WaitMS)))
	events, err := g.options.Network.OpenStream(ctx, address, peer.KindOwner, &peer.OwnerRequest{Request: *request})
	if err != nil {
		cancel(nil)
		g.log.Debug("ticket owner unreachable", "owner", presented.Owner, "error", err)
		return g.orphaned(request)
	}
	run := newExecution(request.RequestID, request.Stream, cancel)
	reader, failure := run.follow(request.Stream)
	g.running.begin()
	go func() {
		defer g.running.end()
		defer cancel(nil)
		defer events.Close()
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

// alternates are callers' addresses of gateways that pass requests on: those of
// the own region first.
func (g *Gateway) alternates() []string {
	active := g.agent.Active()
	if active == nil {
		return nil
	}
	var near, far []string
	for name, member := range active.Gateways() {
		switch {
		case name == g.options.Info.Name || !usable(active, member):
		case member.Region == g.region():
			near = append(near, member.HTTPAddress)
		default:
			far = append(far, member.HTTPAddress)
		}
	}
	g.shuffle(near)
	g.shuffle(far)
	all := append(near, far...)
	return all[:min(len(all), maxAlternates)]
}

func usable(active *places.Contents, member places.Gateway) bool {
	return member.Up && !active.Evacuated(member.Zone)
}

func (g *Gateway) shuffle(addresses []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.random.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
}
