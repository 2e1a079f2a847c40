// Package locator tells clients which gateways to use. A control node that belongs to no
// group, for instance because the group is complete, forwards the question to a member, or
// to a gateway if no member answers.
package locator

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/discovery"
	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/directory"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/transport"
)

const (
	// cacheTTL is the lifetime of a cached answer of a member.
	cacheTTL = 500 * time.Millisecond
	// maxCached bounds the number of cached answers.
	maxCached = 64
	// callTimeout bounds the call to one member or gateway.
	callTimeout = 300 * time.Millisecond
	// maxMembersAsked bounds the number of members that are asked for one answer.
	maxMembersAsked = 2
	// maxGatewaysAsked bounds the number of gateways that are asked for one answer.
	maxGatewaysAsked = 2
)

// Label values of the lookups counter.
const (
	lookupAnswered    = "answered"    // from this node's own state
	lookupPartitioned = "partitioned" // from this node's own state, which may be old
	lookupFromMember  = "from_member"
	lookupFromGateway = "from_gateway"
	lookupCached      = "cached"
	lookupNoGateway   = "no_gateway" // this node's own state has no gateway that is up
	lookupUnanswered  = "unanswered" // nobody that was asked knows a gateway
)

// Locator finds gateways for clients. Its methods are safe for concurrent use.
type Locator struct {
	name     string
	engine   *engine.Engine
	network  transport.Network
	contacts *discovery.Contacts
	lookups  *prometheus.CounterVec
	log      *slog.Logger

	mutex sync.Mutex
	cache map[peer.WhereRequest]cachedAnswer
}

type cachedAnswer struct {
	at        time.Time
	addresses []string
}

// New returns the locator of the node with the name. It counts the lookups by result.
func New(name string, engine *engine.Engine, network transport.Network, contacts *discovery.Contacts, lookups *prometheus.CounterVec, log *slog.Logger) *Locator {
	return &Locator{name: name, engine: engine, network: network, contacts: contacts, lookups: lookups, log: log}
}

// Where returns the HTTP addresses of at most limit gateways that a client in a region
// should use. It is empty if none is known.
func (l *Locator) Where(region string, limit int) []string {
	request := peer.WhereRequest{Region: region, Limit: limit}
	if l.engine.Observe().KnowsNoMembership() {
		return l.askOthers(request)
	}
	addresses := l.answer(request)
	l.lookups.WithLabelValues(l.ownResult(addresses)).Inc()
	return addresses
}

// ownResult returns the result of a lookup that was answered from this node's own state.
func (l *Locator) ownResult(addresses []string) string {
	switch {
	case len(addresses) == 0:
		return lookupNoGateway
	case l.engine.Observe().Status.Leader == consensus.None:
		return lookupPartitioned
	default:
		return lookupAnswered
	}
}

// Serve handles peer.KindWhere. It answers from this node's own state alone.
func (l *Locator) Serve(_ context.Context, _ string, decode func(any) error) (any, error) {
	var request peer.WhereRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	return &peer.WhereReply{Addresses: l.answer(request)}, nil
}

// answer answers a request from this node's own state.
func (l *Locator) answer(request peer.WhereRequest) []string {
	observed := l.engine.Observe()
	if observed.Catalog == nil {
		return nil
	}
	query := directory.Query{Region: request.Region, Limit: request.Limit, Node: l.name}
	query.Partitioned = observed.Status.Leader == consensus.None && !l.contacts.ReachesOtherRegion()
	return query.Answer(observed.Catalog.Gateways())
}

// askOthers returns the answer of a member, or else that of a gateway, from the cache if it
// is fresh. All are asked at once, since those that are gone do not answer.
func (l *Locator) askOthers(request peer.WhereRequest) []string {
	if addresses, fresh := l.cached(request); fresh {
		l.lookups.WithLabelValues(lookupCached).Inc()
		return addresses
	}
	members, gateways := l.membersToAsk(), l.contacts.Gateways()
	gateways = gateways[:min(len(gateways), maxGatewaysAsked)]
	answers := l.ask(append(members, gateways...), request)
	for i, answer := range answers {
		addresses := <-answer
		if len(addresses) == 0 {
			continue
		}
		l.store(request, addresses)
		result := lookupFromMember
		if i >= len(members) {
			result = lookupFromGateway
		}
		l.lookups.WithLabelValues(result).Inc()
		return addresses
	}
	l.lookups.WithLabelValues(lookupUnanswered).Inc()
	return nil
}

// ask asks processes concurrently, and returns their answers in the order of the targets.
func (l *Locator) ask(targets []string, request peer.WhereRequest) []<-chan []string {
	answers := make([]<-chan []string, 0, len(targets))
	for _, target := range targets {
		answer := make(chan []string, 1)
		answers = append(answers, answer)
		go func() { answer <- l.askOne(target, request) }()
	}
	return answers
}

func (l *Locator) cached(request peer.WhereRequest) ([]string, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	answer, found := l.cache[request]
	return answer.addresses, found && time.Since(answer.at) < cacheTTL
}

// store caches an answer. A full cache is emptied first.
func (l *Locator) store(request peer.WhereRequest, addresses []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.cache == nil || len(l.cache) >= maxCached {
		l.cache = make(map[peer.WhereRequest]cachedAnswer)
	}
	l.cache[request] = cachedAnswer{at: time.Now(), addresses: addresses}
}

// membersToAsk returns the addresses of the primary, if it is known, and of other
// contacts.
func (l *Locator) membersToAsk() []string {
	var addresses []string
	primary := l.contacts.ReportedPrimary()
	if primary != "" {
		addresses = append(addresses, primary)
	}
	for _, address := range l.contacts.Addresses() {
		if len(addresses) >= maxMembersAsked {
			break
		}
		if address != primary {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (l *Locator) askOne(address string, request peer.WhereRequest) []string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var reply peer.WhereReply
	if err := l.network.Call(ctx, address, peer.KindWhere, &request, &reply); err != nil {
		l.log.Debug("gateway lookup failed", "member", address, "error", err)
		return nil
	}
	return reply.Addresses
}
