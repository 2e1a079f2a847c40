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
	name     string
	engine   *engine.Engine
	network  transport.Network
	contacts *Contacts
}

// NewGreeter returns the greeter of a node with a name.
func NewGreeter(name string, engine *engine.Engine, network transport.Network, contacts *Contacts) *Greeter {
	return &Greeter{name: name, engine: engine, network: network, contacts: contacts}
}

// Greet sends Hello to all contacts concurrently, and to some gateways if includeGateways
// is set, and returns the answers that arrive within the timeout.
func (g *Greeter) Greet(ctx context.Context, timeout time.Duration, includeGateways bool) []Greeting {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
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
	observed := g.engine.Observe()
	hello := peer.Hello{Name: g.name, Identity: observed.Identity, Initial: g.isInitial(observed)}
	answer := &Greeting{Address: address}
	if err := g.network.Call(ctx, address, peer.KindHello, &hello, &answer.Reply); err != nil {
		return nil
	}
	return answer
}
