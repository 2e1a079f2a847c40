package discovery

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/transport"
)

// Greeter sends Hello messages to ask other nodes which group they belong to.
type Greeter struct {
	name        string
	engine      *engine.Engine
	network     transport.Network
	contacts    *Contacts
	callTimeout time.Duration
}

// NewGreeter returns the greeter of a node with a name. The timeout bounds one call.
func NewGreeter(name string, engine *engine.Engine, network transport.Network, contacts *Contacts, callTimeout time.Duration) *Greeter {
	return &Greeter{name: name, engine: engine, network: network, contacts: contacts, callTimeout: callTimeout}
}

// Greet sends Hello to all contacts concurrently, and to some gateways if includeGateways
// is set, and returns the answers.
func (g *Greeter) Greet(ctx context.Context, includeGateways bool) []Greeting {
	targets := g.contacts.Addresses()
	if includeGateways {
		targets = append(targets, g.contacts.Gateways()...)
	}
	answers := make(chan *Greeting, len(targets))
	for _, address := range targets {
		go func() {
			answers <- g.greetOne(ctx, address)
		}()
	}
	var greetings []Greeting
	for range targets {
		if answer := <-answers; answer != nil {
			greetings = append(greetings, *answer)
		}
	}
	return greetings
}

// isInitial reports whether this node is an initial control node that belongs to no group.
func (g *Greeter) isInitial(observed *engine.Observation) bool {
	_, listed := g.engine.InitialControl()[g.name]
	return listed && observed.Cluster == ""
}

// greetOne returns nil if the address does not answer.
func (g *Greeter) greetOne(ctx context.Context, address string) *Greeting {
	ctx, cancel := context.WithTimeout(ctx, g.callTimeout)
	defer cancel()
	observed := g.engine.Observe()
	hello := peer.Hello{Name: g.name, Identity: observed.Identity, Initial: g.isInitial(observed)}
	answer := &Greeting{Address: address}
	if err := g.network.Call(ctx, address, peer.KindHello, &hello, &answer.Reply); err != nil {
		return nil
	}
	return answer
}
