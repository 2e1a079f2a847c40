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

// Limits for issuing tickets.
const (
	// issueTicketTimeout bounds the wait for another gateway to issue a ticket.
	issueTicketTimeout = 500 * time.Millisecond
	// maxAlternates bounds the other gateways that an answer lists in addition to the owner.
	maxAlternates = 3
)

// where answers which gateway a caller should send its request to. The answer has a
// ticket of that gateway, which is in the first region of the router's order that issues
// one. A draining gateway issues no tickets itself, but returns those of other gateways.
func (g *Gateway) where(ctx context.Context, request *api.WhereRequest) (*api.WhereAnswer, *api.Error) {
	acceptFailure := g.checkAccepting()
	if acceptFailure != nil && !g.canReferToPeers() {
		return nil, acceptFailure
	}
	route, failure := g.router.Resolve(generateRequestFor(request), time.Now())
	if failure != nil {
		return nil, failure
	}
	regions := g.router.Regions(route)
	if len(regions) == 0 {
		return nil, g.router.Rejection(route)
	}
	for _, region := range regions {
		answer, failure := g.issueTicketIn(ctx, region, request, acceptFailure == nil)
		if answer != nil || failure != nil {
			return answer, failure
		}
	}
	if acceptFailure != nil {
		return nil, acceptFailure
	}
	return g.issueTicket(request)
}

// issueTicketIn returns a ticket of a gateway in the region, which may be this one. Both
// results are nil if no gateway of the region issued one.
//
// For a request that is not repeatable, the owner is chosen by rendezvous hashing of the
// request id. All gateways thus choose the same owner for the same request id, and the
// owner returns the ticket that it issued first. There can be two tickets only if the
// gateways of the region changed in between, the owner did not reply in time, or the
// tickets were issued in two regions.
func (g *Gateway) issueTicketIn(ctx context.Context, region string, request *api.WhereRequest, includeSelf bool) (*api.WhereAnswer, *api.Error) {
	includeSelf = includeSelf && region == g.region() && g.canOwnTickets()
	if request.Repeatable {
		if includeSelf {
			return g.issueTicket(request)
		}
		return g.issueTicketAt(ctx, g.peersInRegion(region, maxPeersTried), request)
	}
	candidates := g.ownerCandidates(region, request.RequestID, includeSelf)
	for _, candidate := range candidates[:min(len(candidates), maxPeersTried)] {
		if candidate.PeerAddress == g.options.Info.PeerAddress {
			return g.issueTicket(request)
		}
		answer, failure := g.issueTicketAt(ctx, []catalog.Gateway{candidate}, request)
		if answer != nil || failure != nil {
			return answer, failure
		}
	}
	return nil, nil
}

// ownerCandidates returns the gateways of a region that may own a request, in descending
// order of their rendezvous score for the request id.
func (g *Gateway) ownerCandidates(region, requestID string, includeSelf bool) []catalog.Gateway {
	active := g.agent.Active()
	if active == nil {
		return nil
	}
	var names []string
	for name, member := range active.Gateways() {
		allowed := isAvailable(active, member)
		if name == g.options.Info.Name {
			allowed = includeSelf
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

// issueTicketAt asks the gateways for a ticket, one after the other, until one issues it.
// A reply with api.CodeDuplicate, which means that the request id can't be used, is
// final; after any other failure the next gateway is asked.
func (g *Gateway) issueTicketAt(ctx context.Context, members []catalog.Gateway, request *api.WhereRequest) (*api.WhereAnswer, *api.Error) {
	for _, member := range members {
		callContext, cancel := context.WithTimeout(ctx, issueTicketTimeout)
		var reply peer.IssueTicketReply
		err := g.options.Network.Call(callContext, member.PeerAddress, peer.KindIssueTicket, &peer.IssueTicket{Request: *request}, &reply)
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

// canReferToPeers reports whether a draining gateway can still direct callers to other
// gateways.
func (g *Gateway) canReferToPeers() bool {
	return g.draining.Load() && g.agent.Valid() && g.agent.Active() != nil
}

// canOwnTickets reports whether this gateway may issue tickets. In an evacuated zone it
// may not, since tickets are lost with the process that issued them.
func (g *Gateway) canOwnTickets() bool {
	active := g.agent.Active()
	return active != nil && !active.IsEvacuated(g.options.Info.Zone)
}

// generateRequestFor returns the request for which a ticket is asked, with the fields that
// are already known.
func generateRequestFor(request *api.WhereRequest) api.GenerateRequest {
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

// serveIssueTicket handles peer.KindIssueTicket: it issues a ticket for another gateway.
func (g *Gateway) serveIssueTicket(_ context.Context, _ string, decode func(any) error) (any, error) {
	var request peer.IssueTicket
	if err := decode(&request); err != nil {
		return nil, err
	}
	answer, failure := g.issueTicketForPeer(&request.Request)
	return &peer.IssueTicketReply{Answer: answer, Error: failure}, nil
}

// issueTicketForPeer issues a ticket for a caller of another gateway, if this gateway
// accepts new requests and may issue tickets.
func (g *Gateway) issueTicketForPeer(request *api.WhereRequest) (*api.WhereAnswer, *api.Error) {
	if failure := checkWhere(request); failure != nil {
		return nil, failure
	}
	if failure := g.checkAccepting(); failure != nil {
		return nil, failure
	}
	if !g.canOwnTickets() {
		return nil, newRetryableError(api.CodeNotReady, "the zone is evacuated")
	}
	return g.issueTicket(request)
}

// issueTicket issues a ticket that makes this gateway the owner of the request.
func (g *Gateway) issueTicket(request *api.WhereRequest) (*api.WhereAnswer, *api.Error) {
	now := g.options.Clock()
	wait := api.Wait(request.WaitMS)
	requested := ticket.Ticket{
		RequestID:   request.RequestID,
		Owner:       g.options.Info.Name,
		Incarnation: g.options.Info.Incarnation,
		HomeRule:    request.Home,
		Idempotent:  request.Repeatable,
		IssuedAt:    now,
		Expires:     now + wait,
	}
	issued, err := g.tickets.issue(now, requested)
	if err != nil {
		return nil, issueTicketFailure(request.RequestID, err)
	}
	text, err := g.sealer.Load().Seal(issued)
	if err != nil {
		return nil, newError(api.CodeInternal, api.OutcomeRefused, "sealing the ticket: %v", err)
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

// issueTicketFailure returns the API error for an error of the ticket table.
func issueTicketFailure(requestID string, err error) *api.Error {
	var failure *api.Error
	switch {
	case errors.Is(err, ticket.ErrFull):
		failure = newRetryableError(api.CodeOverloaded, "the gateway's table of tickets is full")
	case errors.Is(err, ticket.ErrRejected):
		failure = newError(api.CodeDuplicate, api.OutcomeRefused, "the request with this id was refused, or its ticket expired: ask again with a new request id")
	default:
		failure = newError(api.CodeDuplicate, api.OutcomeUnknown, "the request id is in use for another request")
	}
	failure.RequestID = requestID
	return failure
}

// alternates returns the HTTP addresses of other gateways that forward requests to the
// owner, those of this gateway's region first.
func (g *Gateway) alternates() []string {
	active := g.agent.Active()
	if active == nil {
		return nil
	}
	var addresses, otherRegions []string
	for name, member := range active.Gateways() {
		switch {
		case name == g.options.Info.Name || !isAvailable(active, member):
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

// isAvailable reports whether a gateway is up and its zone is not evacuated.
func isAvailable(active *catalog.State, member catalog.Gateway) bool {
	return member.Up && !active.IsEvacuated(member.Zone)
}

// shuffle shuffles addresses.
func (g *Gateway) shuffle(addresses []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.random.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
}
