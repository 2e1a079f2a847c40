// Package bootstrap brings a control node into a group.
//
// A disk without a group is a new member, whatever its node was before. A new group
// is bootstrapped only when every initial control node answers that it has none, and
// only by the one with the lowest name; a node that has a group never bootstraps one.
// A node that finds a group asks to join it.
package bootstrap

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/discovery"
	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/control/identity"
	"github.com/deckpulley/deckpulley/control/membership"
	"github.com/deckpulley/deckpulley/control/statemachine"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/transport"
)

// Config sets up a Bootstrapper. All but InitialControl are required.
type Config struct {
	// Name, PeerAddress and Zone describe this node as a member of the group.
	Name        string
	PeerAddress string
	Zone        string
	// InitialControl maps the names of the control nodes that form a new group to
	// their peer addresses. A node that it does not list only joins.
	InitialControl map[string]string
	// Interval is the time between two rounds of discovery.
	Interval time.Duration
	// CallTimeout bounds one call to another node.
	CallTimeout time.Duration

	Engine    *engine.Engine
	Network   transport.Network
	Contacts  *discovery.Contacts
	Describer *discovery.Describer
	Logger    *slog.Logger
}

// Bootstrapper brings one node into a group. Its methods are safe for concurrent use.
type Bootstrapper struct {
	config  Config
	log     *slog.Logger
	engine  *engine.Engine
	greeter *discovery.Greeter

	mutex sync.Mutex
	// promised is the identity of the node whose Form is awaited.
	promised consensus.ID
}

// New returns the bootstrapper of a node.
func New(config Config) *Bootstrapper {
	return &Bootstrapper{
		config:  config,
		log:     config.Logger,
		engine:  config.Engine,
		greeter: discovery.NewGreeter(config.Name, config.Engine, config.Network, config.Contacts, config.CallTimeout),
	}
}

// Run looks for the group while this node has none, does not vote, or knows no
// leader, until ctx ends.
func (b *Bootstrapper) Run(ctx context.Context) {
	ticker := time.NewTicker(b.config.Interval)
	defer ticker.Stop()
	for {
		if b.needsGroup() {
			b.discover(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *Bootstrapper) needsGroup() bool {
	observed := b.engine.Observe()
	return !b.stableMember(observed) || observed.LeaderAddress() == ""
}

// discover greets every known node, and acts on the answers.
func (b *Bootstrapper) discover(ctx context.Context) {
	greetings := b.greeter.Greet(ctx)
	b.config.Contacts.LearnFrom(ctx, greetings)
	observed := b.engine.Observe()
	switch {
	case observed.Cluster == "" && b.mayBootstrap(observed, greetings):
		b.bootstrapGroup(ctx, greetings)
	case !b.stableMember(observed) || removed(observed, greetings):
		b.join(ctx, greetings)
	default:
		b.completeBootstrap(ctx, observed, greetings)
	}
}

// stableMember is true if this node's own log lists it as a voter, as it is.
func (b *Bootstrapper) stableMember(observed *engine.Observation) bool {
	self, found := observed.Member(observed.Identity)
	return found && self == b.self(observed.Identity)
}

// removed is true if members that know a leader do not count this node among them:
// it was replaced while it was frozen or partitioned.
func removed(observed *engine.Observation, greetings []discovery.Greeting) bool {
	for _, greeting := range greetings {
		reply := greeting.Reply
		if reply.Cluster != observed.Cluster || reply.Leader == consensus.None {
			continue
		}
		if _, listed := membership.Find(consensus.Membership{Members: reply.Members}, observed.Identity); !listed {
			return true
		}
	}
	return false
}

// ServeHello handles peer.KindHello: it says what this node is and whom it knows.
func (b *Bootstrapper) ServeHello(_ context.Context, _ string, decode func(any) error) (any, error) {
	var hello peer.Hello
	if err := decode(&hello); err != nil {
		return nil, err
	}
	observed := b.engine.Observe()
	return &peer.HelloReply{
		Name:                 b.config.Name,
		Identity:             observed.Identity,
		Cluster:              observed.Cluster,
		BootstrapCoordinator: b.promise(observed, hello),
		Leader:               observed.Status.Leader,
		Members:              observed.Status.Membership.Members,
	}, nil
}

// promise lets a node with a lower name bootstrap the group, and binds this one to
// the disk that it asked with: a Form sent from an earlier disk is not accepted.
func (b *Bootstrapper) promise(observed *engine.Observation, hello peer.Hello) consensus.ID {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	_, listed := b.config.InitialControl[hello.Name]
	if observed.Cluster == "" && listed && hello.Identity != consensus.None && hello.Name < b.config.Name {
		b.promised = hello.Identity
	}
	return b.promised
}

// ServeForm handles peer.KindBootstrap: it makes a fresh node a voter of a new group, once.
func (b *Bootstrapper) ServeForm(ctx context.Context, from string, decode func(any) error) (any, error) {
	var form peer.Bootstrap
	if err := decode(&form); err != nil {
		return nil, err
	}
	b.mutex.Lock()
	promised := b.promised
	b.mutex.Unlock()
	accepted, err := b.engine.AcceptBootstrap(ctx, form, promised)
	if err != nil {
		return nil, err
	}
	b.log.Info("bootstrap state received", "from", from, "cluster", form.Cluster, "accepted", accepted)
	return &peer.BootstrapReply{Accepted: accepted}, nil
}

// mayBootstrap is true if every other initial control node has just said that it
// belongs to no group and awaits this node's Form.
func (b *Bootstrapper) mayBootstrap(observed *engine.Observation, greetings []discovery.Greeting) bool {
	if _, listed := b.config.InitialControl[b.config.Name]; !listed {
		return false
	}
	for name, address := range b.config.InitialControl {
		if name == b.config.Name {
			continue
		}
		if name < b.config.Name {
			return false
		}
		reply, answered := discovery.ReplyFrom(greetings, address)
		if !answered || reply.Name != name || reply.Cluster != "" || reply.BootstrapCoordinator != observed.Identity {
			return false
		}
	}
	for _, greeting := range greetings {
		if greeting.Reply.Cluster != "" {
			return false
		}
	}
	return true
}

// bootstrapGroup makes the first state of a group, stores it here, and sends it to
// the others. Whom that misses is served by completeBootstrap.
func (b *Bootstrapper) bootstrapGroup(ctx context.Context, greetings []discovery.Greeting) {
	cluster := identity.New()
	members, err := b.firstMembers(ctx, greetings)
	if err != nil {
		b.log.Info("group bootstrap postponed", "error", err)
		return
	}
	snapshot, err := statemachine.InitialSnapshot(cluster, b.config.Name, members)
	if err != nil {
		b.log.Error("group bootstrap failed", "error", err)
		return
	}
	entered, err := b.engine.EnterGroup(ctx, cluster, snapshot)
	if err != nil || !entered {
		return
	}
	b.log.Info("group bootstrapped", "cluster", cluster, "members", len(members))
	for _, member := range members[1:] {
		b.sendForm(ctx, member.Address, peer.Bootstrap{Cluster: cluster, Snapshot: snapshot})
	}
}

// completeBootstrap sends the group's first state to members that never received it:
// they are in the membership under the identity of their disk, which has no group.
// Such a member has never voted, so any state of the group is good for its start.
func (b *Bootstrapper) completeBootstrap(ctx context.Context, observed *engine.Observation, greetings []discovery.Greeting) {
	for _, greeting := range greetings {
		member, found := observed.Member(greeting.Reply.Identity)
		if !found || member.Learner || greeting.Reply.Cluster != "" {
			continue
		}
		form, err := b.engine.BootstrapState(ctx)
		if err == nil && form.Snapshot.Index > 0 {
			b.sendForm(ctx, greeting.Address, form)
		}
	}
}

// firstMembers describes the initial control nodes, this one first.
func (b *Bootstrapper) firstMembers(ctx context.Context, greetings []discovery.Greeting) ([]consensus.Member, error) {
	members := []consensus.Member{b.self(b.engine.Observe().Identity)}
	for name, address := range b.config.InitialControl {
		if name == b.config.Name {
			continue
		}
		description, err := b.config.Describer.Describe(ctx, address)
		if err != nil {
			return nil, fmt.Errorf("control: describing %s: %w", name, err)
		}
		reply, _ := discovery.ReplyFrom(greetings, address)
		if description.Identity != reply.Identity {
			return nil, fmt.Errorf("control: %s has changed its identity", name)
		}
		members = append(members, consensus.Member{ID: reply.Identity, Name: name, Address: address, Zone: description.Zone})
	}
	return members, nil
}

func (b *Bootstrapper) sendForm(ctx context.Context, address string, form peer.Bootstrap) {
	ctx, cancel := context.WithTimeout(ctx, b.config.CallTimeout)
	defer cancel()
	var reply peer.BootstrapReply
	if err := b.config.Network.Call(ctx, address, peer.KindBootstrap, &form, &reply); err != nil {
		b.log.Warn("bootstrap state not delivered", "address", address, "error", err)
	}
}

// self is this node as a voter of a group.
func (b *Bootstrapper) self(identity consensus.ID) consensus.Member {
	return consensus.Member{
		ID:      identity,
		Name:    b.config.Name,
		Address: b.config.PeerAddress,
		Zone:    b.config.Zone,
	}
}
