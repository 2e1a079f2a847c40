// Package discovery finds the other control nodes: it keeps their addresses, greets
// them, and collects descriptions of them.
package discovery

import (
	"context"
	"sync"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/control/membership"
	"github.com/deckpulley/deckpulley/peer"
)

// maxLearned bounds the addresses that are kept from other nodes.
const maxLearned = 64

// Contacts are the addresses of other control nodes that a node knows. Its methods
// are safe for concurrent use.
type Contacts struct {
	engine         *engine.Engine
	peerAddress    string
	seeds          []string
	initialControl map[string]string

	mutex sync.Mutex
	// learned are addresses that other nodes named.
	learned map[string]bool
	// primary is the peer address that members named last as the primary's.
	primary string
}

// NewContacts returns the contacts of a node with a peer address: at first the seeds,
// and the nodes that form a new group, by name.
func NewContacts(engine *engine.Engine, peerAddress string, seeds []string, initialControl map[string]string) *Contacts {
	return &Contacts{
		engine:         engine,
		peerAddress:    peerAddress,
		seeds:          seeds,
		initialControl: initialControl,
		learned:        make(map[string]bool),
	}
}

// Addresses returns the peer addresses of the seeds, the initial control nodes, the
// members, and those that others named; each once, this node's own excluded.
func (c *Contacts) Addresses() []string {
	seen := map[string]bool{c.peerAddress: true, "": true}
	var addresses []string
	include := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, address := range c.seeds {
		include(address)
	}
	for _, address := range c.initialControl {
		include(address)
	}
	for _, address := range membership.Addresses(c.engine.Observe().Status.Membership) {
		include(address)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address := range c.learned {
		include(address)
	}
	return addresses
}

// Learn keeps where members are. A gateway names addresses without identities.
func (c *Contacts) Learn(ctx context.Context, members []consensus.Member) {
	if len(members) == 0 {
		return
	}
	c.mutex.Lock()
	for _, member := range members {
		if len(c.learned) < maxLearned {
			c.learned[member.Address] = true
		}
	}
	c.mutex.Unlock()
	c.engine.LearnAddresses(ctx, members)
}

// LearnFrom keeps where members of this node's group are, or of any group while it
// has none.
func (c *Contacts) LearnFrom(ctx context.Context, greetings []Greeting) {
	cluster := c.engine.Observe().Cluster
	for _, greeting := range greetings {
		if cluster == "" || greeting.Reply.Cluster == cluster {
			c.Learn(ctx, greeting.Reply.Members)
		}
	}
}

// SetPrimary keeps the address that a member named as the primary's; empty changes
// nothing.
func (c *Contacts) SetPrimary(address string) {
	if address == "" {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.primary = address
}

// NamedPrimary is the address that a member named last as the primary's; empty if none.
func (c *Contacts) NamedPrimary() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.primary
}

// PrimaryAddress is the peer address of the primary by an observation, or, without a
// group, the one that a member named; empty if unknown.
func (c *Contacts) PrimaryAddress(observed *engine.Observation) string {
	if observed.WithoutGroup() {
		return c.NamedPrimary()
	}
	return observed.LeaderAddress()
}

// Greeting is one answer to Hello and the address that gave it.
type Greeting struct {
	Address string
	Reply   peer.HelloReply
}

// ReplyFrom returns the answer of an address.
func ReplyFrom(greetings []Greeting, address string) (peer.HelloReply, bool) {
	for _, greeting := range greetings {
		if greeting.Address == address {
			return greeting.Reply, true
		}
	}
	return peer.HelloReply{}, false
}
