// Package locator tells clients which gateways to use. A control node that belongs to no
// group, for instance because the group is complete, forwards the question to a member.
package locator

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/discovery"
	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/control/message"
	"github.com/deckpulley/deckpulley/directory"
	"github.com/deckpulley/deckpulley/transport"
)

const (
	// cacheTTL is the lifetime of a cached answer of a member.
	cacheTTL = 500 * time.Millisecond
	// maxCached bounds the number of cached answers.
	maxCached = 64
	// callTimeout bounds the call to one member.
	callTimeout = 300 * time.Millisecond
	// maxMembersAsked bounds the number of members that are asked for one answer.
	maxMembersAsked = 2
)

// Locator finds gateways for clients. Its methods are safe for concurrent use.
type Locator struct {
	name     string
	engine   *engine.Engine
	network  transport.Network
	contacts *discovery.Contacts
	log      *slog.Logger

	mutex sync.Mutex
	cache map[message.WhereRequest]cachedAnswer
}

type cachedAnswer struct {
	at        time.Time
	addresses []string
}

// New returns the locator of the node with the name.
func New(name string, engine *engine.Engine, network transport.Network, contacts *discovery.Contacts, log *slog.Logger) *Locator {
	return &Locator{name: name, engine: engine, network: network, contacts: contacts, log: log}
}

// Where returns the HTTP addresses of at most limit gateways that a client in a region
// should use. It is empty if none is known.
func (l *Locator) Where(region string, limit int) []string {
	request := message.WhereRequest{Region: region, Limit: limit}
	if l.engine.Observe().KnowsNoMembership() {
		return l.askMembers(request)
	}
	return l.answer(request)
}

// Serve handles message.KindWhere. It answers from this node's own state alone.
func (l *Locator) Serve(_ context.Context, _ string, decode func(any) error) (any, error) {
	var request message.WhereRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	return &message.WhereReply{Addresses: l.answer(request)}, nil
}

// answer answers a request from this node's own state.
func (l *Locator) answer(request message.WhereRequest) []string {
	observed := l.engine.Observe()
	if observed.Catalog == nil {
		return nil
	}
	query := directory.Query{Region: request.Region, Limit: request.Limit, Node: l.name}
	query.Partitioned = observed.Status.Leader == consensus.None
	return query.Answer(observed.Catalog.Gateways())
}

// askMembers returns the answer of a member, from the cache if it is fresh.
func (l *Locator) askMembers(request message.WhereRequest) []string {
	if addresses, fresh := l.cached(request); fresh {
		return addresses
	}
	for _, address := range l.membersToAsk() {
		addresses := l.askMember(address, request)
		if len(addresses) > 0 {
			l.store(request, addresses)
			return addresses
		}
	}
	return nil
}

func (l *Locator) cached(request message.WhereRequest) ([]string, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	answer, found := l.cache[request]
	return answer.addresses, found && time.Since(answer.at) < cacheTTL
}

// store caches an answer. A full cache is emptied first.
func (l *Locator) store(request message.WhereRequest, addresses []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.cache == nil || len(l.cache) >= maxCached {
		l.cache = make(map[message.WhereRequest]cachedAnswer)
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

func (l *Locator) askMember(address string, request message.WhereRequest) []string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var reply message.WhereReply
	if err := l.network.Call(ctx, address, message.KindWhere, &request, &reply); err != nil {
		l.log.Debug("gateway lookup failed", "member", address, "error", err)
		return nil
	}
	return reply.Addresses
}
