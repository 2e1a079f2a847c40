package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/placement"
	"github.com/deckpulley/deckpulley/ticket"
)

// where answers where a request should go: with a ticket of a gateway in the
// region that serves it best. A gateway that leaves gives no tickets of its own.
func (g *Gateway) where(ctx context.Context, request *api.WhereRequest) (*api.WhereAnswer, *api.Error) {
	refused := g.mayAccept()
	if refused != nil && !g.mayRefer() {
		return nil, refused
	}
	route, failure := g.router.Resolve(asGenerate(request), time.Now())
	if failure != nil {
		return nil, failure
	}
	regions := g.router.Regions(route)
	if len(regions) == 0 {
		return nil, g.router.Rejection(route)
	}
	for _, region := range regions {
		answer, failure := g.mintIn(ctx, region, request, refused == nil)
		if answer != nil || failure != nil {
			return answer, failure
		}
	}
	if refused != nil {
		return nil, refused
	}
	return g.mint(request)
}

// mintIn asks a gateway of the region, or this one, to own the request. Both
// results are nil if the next region is to be tried. Whoever asks for the same
// unrepeatable request again, through whichever gateway of the region, is led to
// the same owner, who answers with the first ticket. Two tickets for it need a
// change of the region's gateways between the two, an owner that was not reached
// in time, or questions that led to two regions.
func (g *Gateway) mintIn(ctx context.Context, region string, request *api.WhereRequest, self bool) (*api.WhereAnswer, *api.Error) {
	self = self && region == g.region() && g.mayOwn()
	if request.Repeatable {
		if self {
			return g.mint(request)
		}
		return g.mintAt(ctx, g.peersIn(region, maxPeersTried), request)
	}
	candidates := g.ownersIn(region, request.RequestID, self)
	for _, candidate := range candidates[:min(len(candidates), maxPeersTried)] {
		if candidate.PeerAddress == g.options.Info.PeerAddress {
			return g.mint(request)
		}
		answer, failure := g.mintAt(ctx, []catalog.Gateway{candidate}, request)
		if answer != nil || failure != nil {
			return answer, failure
		}
	}
	return nil, nil
}

// ownersIn lists the gateways of a region that may own a request, in the order
// of their rendezvous scores for its id.
func (g *Gateway) ownersIn(region, requestID string, self bool) []catalog.Gateway {
	active := g.agent.Active()
	if active == nil {
		return nil
	}
	var names []string
	for name, member := range active.Gateways() {
		allowed := usable(active, member)
		if name == g.options.Info.Name {
			allowed = self
		}
		if member.Region == region && allowed {
			names = append(names, name)
		}
	}
	key := placement.Hash(requestID)
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(placement.Score(key, placement.Hash(b)), placement.Score(key, placement.Hash(a)))
	})
	owners := make([]catalog.Gateway, 0, len(names))
	for _, name := range names {
		owners = append(owners, active.Gateways()[name])
	}
	return owners
}

// mintAt asks gateways in turn for a ticket. An owner's word that the request id
// is taken or closed is final; anything else leaves the next one to be asked.
func (g *Gateway) mintAt(ctx context.Context, members []catalog.Gateway, request *api.WhereRequest) (*api.WhereAnswer, *api.Error) {
	for _, member := range members {
		asking, cancel := context.WithTimeout(ctx, mintTimeout)
		var reply peer.IssueTicketReply
		err := g.options.Network.Call(asking, member.PeerAddress, peer.KindIssueTicket, &peer.IssueTicket{Request: *request}, &reply)
		cancel()
		switch {
		case err != nil:
			continue
		case reply.Answer != nil:
			return reply.Answer, nil
		case reply.Error != nil && reply.Error.Code == api.CodeDuplicate:
			return nil, reply.Error
		}
	}
	return nil, nil
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
	return active != nil && !active.IsEvacuated(g.options.Info.Zone)
}

func (g *Gateway) serveMint(_ context.Context, _ string, decode func(any) error) (any, error) {
	var request peer.IssueTicket
	if err := decode(&request); err != nil {
		return nil, err
	}
	answer, failure := g.mintForPeer(&request.Request)
	return &peer.IssueTicketReply{Answer: answer, Error: failure}, nil
}

// mintForPeer makes a ticket that this process owns for a caller of another
// gateway, if this one accepts the request.
func (g *Gateway) mintForPeer(request *api.WhereRequest) (*api.WhereAnswer, *api.Error) {
	if failure := checkWhere(request); failure != nil {
		return nil, failure
	}
	if failure := g.mayAccept(); failure != nil {
		return nil, failure
	}
	if !g.mayOwn() {
		return nil, refusedLater(api.CodeNotReady, "the zone is evacuated")
	}
	return g.mint(request)
}

// mint makes a ticket that this process owns.
func (g *Gateway) mint(request *api.WhereRequest) (*api.WhereAnswer, *api.Error) {
	now := g.options.Clock()
	wait := api.Wait(request.WaitMS)
	fresh := ticket.Ticket{
		RequestID:   request.RequestID,
		Owner:       g.options.Info.Name,
		Incarnation: g.options.Info.Incarnation,
		HomeRule:    request.Home,
		Idempotent:  request.Repeatable,
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
		failure = refusedLater(api.CodeOverloaded, "the gateway remembers as many requests as it can")
	case errors.Is(err, ticket.ErrClosed):
		failure = failed(api.CodeDuplicate, api.OutcomeRefused, "the request was refused for good: ask again with a new request id")
	default:
		failure = failed(api.CodeDuplicate, api.OutcomeUnknown, "the request id is in use for another request")
	}
	failure.RequestID = requestID
	return failure
}

// alternates are callers' addresses of gateways that pass requests on: those of
// the own region first.
func (g *Gateway) alternates() []string {
	active := g.agent.Active()
	if active == nil {
		return nil
	}
	var addresses, otherRegions []string
	for name, member := range active.Gateways() {
		switch {
		case name == g.options.Info.Name || !usable(active, member):
		case member.Region == g.region():
			addresses = append(addresses, member.HTTPAddress)
		default:
			otherRegions = append(otherRegions, member.HTTPAddress)
		}
	}
	g.shuffle(addresses)
	g.shuffle(otherRegions)
	addresses = append(addresses, otherRegions...)
	return addresses[:min(len(addresses), maxAlternates)]
}

func usable(active *catalog.State, member catalog.Gateway) bool {
	return member.Up && !active.IsEvacuated(member.Zone)
}

func (g *Gateway) shuffle(addresses []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.random.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
}
