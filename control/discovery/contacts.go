// Package discovery finds the other control nodes: it stores their addresses, sends them
// Hello messages, and collects their descriptions.
package discovery

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/control/membership"
	"github.com/deckpulley/deckpulley/internal/rotation"
	"github.com/deckpulley/deckpulley/peer"
)

const (
	// maxLearned bounds the addresses that are stored from answers of other nodes. The one
	// that was reported last the longest ago makes room for a new one.
	maxLearned = 64
	// gatewaysPerRound is the number of gateways that one round of discovery asks. A later
	// round asks others.
	gatewaysPerRound = 8
	// otherRegionTimeout is the time for which an answer of a gateway of another region
	// shows that this region is not partitioned.
	otherRegionTimeout = 3 * time.Second
	// maxGreetedBy bounds the gateways that are stored from their Hello messages. The one
	// that asked the longest ago makes room for a new one.
	maxGreetedBy = 32
)

// Contacts are the addresses of other control nodes that a node knows. Its methods
// are safe for concurrent use.
type Contacts struct {
	engine         *engine.Engine
	peerAddress    string
	region         string
	initialControl map[string]string

	mutex sync.Mutex
	seeds []string
	// learned are the addresses in answers of other nodes, the newest last.
	learned []string
	// greetedBy are the addresses of the gateways that have sent Hello, the newest last.
	greetedBy []string
	// gatewayPosition is that of the next gateway that Gateways returns.
	gatewayPosition uint64
	// primary is the peer address of the primary according to the last answer of a
	// member.
	primary string
	// otherRegionContact is the time at which a gateway of another region last answered.
	otherRegionContact time.Time
}

// NewContacts returns the contacts of the node at a peer address in a region. It starts
// with the seeds and with initialControl, the addresses by name of the nodes that bootstrap
// a new group.
func NewContacts(engine *engine.Engine, peerAddress, region string, seeds []string, initialControl map[string]string) *Contacts {
	return &Contacts{
		engine:         engine,
		peerAddress:    peerAddress,
		region:         region,
		seeds:          slices.Clone(seeds),
		initialControl: initialControl,
	}
}

// SetSeeds replaces the seeds.
func (c *Contacts) SetSeeds(seeds []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.seeds = slices.Clone(seeds)
}

// RecordGateway stores the address of a gateway that has sent Hello to this node.
func (c *Contacts) RecordGateway(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.greetedBy = slices.DeleteFunc(c.greetedBy, func(known string) bool { return known == address })
	c.greetedBy = append(c.greetedBy, address)
	c.greetedBy = c.greetedBy[max(0, len(c.greetedBy)-maxGreetedBy):]
}

// Gateways returns the peer addresses of at most gatewaysPerRound gateways in the
// registry, or of those that have asked this node if it has no copy of the registry. They
// know the control nodes. Successive calls go through all of them.
func (c *Contacts) Gateways() []string {
	addresses := c.registeredGateways()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(addresses) == 0 {
		addresses = slices.Clone(c.greetedBy)
	}
	sample := rotation.Window(addresses, c.gatewayPosition, gatewaysPerRound)
	c.gatewayPosition += uint64(len(sample))
	return sample
}

// registeredGateways returns the peer addresses of the gateways in the registry, sorted.
func (c *Contacts) registeredGateways() []string {
	catalog := c.engine.Observe().Catalog
	if catalog == nil {
		return nil
	}
	var addresses []string
	for _, gateway := range catalog.Gateways() {
		addresses = append(addresses, gateway.PeerAddress)
	}
	slices.Sort(addresses)
	return addresses
}

// Addresses returns the peer addresses of the seeds, the initial control nodes and the
// members, and the learned addresses; each once, without this node's own.
func (c *Contacts) Addresses() []string {
	seen := map[string]bool{c.peerAddress: true, "": true}
	var addresses []string
	include := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	members := membership.Addresses(c.engine.Observe().Status.Membership)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, address := range c.seeds {
		include(address)
	}
	for _, address := range c.initialControl {
		include(address)
	}
	for _, address := range members {
		include(address)
	}
	for _, address := range c.learned {
		include(address)
	}
	return addresses
}

// AddMembers stores the addresses of members. Members in a gateway's answer have addresses
// but no identities.
func (c *Contacts) AddMembers(ctx context.Context, members []consensus.Member) {
	if len(members) == 0 {
		return
	}
	c.mutex.Lock()
	for _, member := range members {
		c.learned = slices.DeleteFunc(c.learned, func(address string) bool { return address == member.Address })
		c.learned = append(c.learned, member.Address)
	}
	c.learned = c.learned[max(0, len(c.learned)-maxLearned):]
	c.mutex.Unlock()
	c.engine.RecordAddresses(ctx, members)
}

// ReachesOtherRegion reports whether a gateway of another region has answered lately. Only
// a node that has known no leader for a while asks gateways.
func (c *Contacts) ReachesOtherRegion() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Since(c.otherRegionContact) <= otherRegionTimeout
}

// recordRegions records the contact if one of the answers is from a gateway of another
// region.
func (c *Contacts) recordRegions(greetings []Greeting) {
	catalog := c.engine.Observe().Catalog
	if catalog == nil {
		return
	}
	elsewhere := make(map[string]bool)
	for _, gateway := range catalog.Gateways() {
		elsewhere[gateway.PeerAddress] = gateway.Region != c.region
	}
	for _, greeting := range greetings {
		if elsewhere[greeting.Address] {
			c.mutex.Lock()
			c.otherRegionContact = time.Now()
			c.mutex.Unlock()
			return
		}
	}
}

// AddFromGreetings stores the addresses of members of this node's group, or of any group
// while this node belongs to none, and which regions were reached.
func (c *Contacts) AddFromGreetings(ctx context.Context, greetings []Greeting) {
	c.recordRegions(greetings)
	cluster := c.engine.Observe().Cluster
	for _, greeting := range greetings {
		if cluster == "" || greeting.Reply.Cluster == cluster {
			c.AddMembers(ctx, greeting.Reply.Members)
		}
	}
}

// SetPrimary stores the primary's peer address as a member reported it. An empty address
// is ignored.
func (c *Contacts) SetPrimary(address string) {
	if address == "" {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.primary = address
}

// ReportedPrimary returns the primary's peer address as a member last reported it, empty
// if none did.
func (c *Contacts) ReportedPrimary() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.primary
}

// PrimaryAddress returns the peer address of the primary according to an observation. If
// this node's log names none, since the node belongs to no group or was replaced in it, it
// returns ReportedPrimary. It is empty if unknown.
func (c *Contacts) PrimaryAddress(observed *engine.Observation) string {
	if address := observed.LeaderAddress(); address != "" {
		return address
	}
	return c.ReportedPrimary()
}

// Greeting is an answer to Hello and the address that it came from.
type Greeting struct {
	Address string
	Reply   peer.HelloReply
}

// ReplyFrom returns the answer from an address, false if there is none.
func ReplyFrom(greetings []Greeting, address string) (peer.HelloReply, bool) {
	for _, greeting := range greetings {
		if greeting.Address == address {
			return greeting.Reply, true
		}
	}
	return peer.HelloReply{}, false
}
