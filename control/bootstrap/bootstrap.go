// Package bootstrap makes a control node a member of a group: it bootstraps a new group or
// joins an existing one.
//
// Members are identified by their disks: a node with an empty disk is a new member, even
// if it was a member before with another disk. A new group is bootstrapped only if every
// initial control node reports that it belongs to none, and only by the coordinator, which
// is the one with the lowest name that knows the initial control nodes. One that was ended
// before it had recorded them does not, since only the very first start names them. A node
// that belongs to a group never bootstraps another.
// A node that finds an existing group asks to join it.
package bootstrap

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
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

// roundsBeforeGateways is the number of rounds of discovery in succession in which no
// control node knew a leader, after which gateways are asked too. Each round waits for
// the slowest answer, so gateways that are down would delay a restart.
const roundsBeforeGateways = 4

// firstRoundDivisor divides the call timeout into the timeout of a call in a round of
// discovery that follows one in which a control node knew a leader, or the start. A lost node
// that is still listed as a seed or a member doesn't answer, and every round waits for it.
const firstRoundDivisor = 2

// roundsBeforeWarning is the number of rounds of discovery in succession without a leader
// after which this is logged. An election takes fewer.
const roundsBeforeWarning = 8

// Config configures a Bootstrapper. All fields but InitialControl are required.
type Config struct {
	// Name, PeerAddress and Zone describe this node as a member of the group.
	Name        string
	PeerAddress string
	Zone        string
	// InitialControl maps the names of the control nodes that bootstrap a new group to
	// their peer addresses. A node that is not listed only joins an existing group.
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

// Bootstrapper makes one node a member of a group. Its methods are safe for concurrent
// use.
type Bootstrapper struct {
	config  Config
	log     *slog.Logger
	engine  *engine.Engine
	greeter *discovery.Greeter
	// roundsWithoutLeader is the number of rounds in succession in which no control node
	// knew a leader. Only Run uses it.
	roundsWithoutLeader int

	mutex sync.Mutex
	// coordinator is the disk identity of the node that this node lets bootstrap the
	// group; consensus.None if none has asked.
	coordinator consensus.ID
	// coordinatorName is its name.
	coordinatorName string
}

// New returns the bootstrapper of a node.
func New(config Config) *Bootstrapper {
	return &Bootstrapper{
		config:  config,
		log:     config.Logger,
		engine:  config.Engine,
		greeter: discovery.NewGreeter(config.Name, config.Engine, config.Network, config.Contacts),
	}
}

// Run runs discovery rounds until ctx is done, while this node belongs to no group, is not
// a voter, or knows no leader.
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

// discover runs one round: it sends a Hello to every known node and, depending on the
// replies, bootstraps a group, asks to join one, or completes a bootstrap.
func (b *Bootstrapper) discover(ctx context.Context) {
	greetings := b.greeter.Greet(ctx, b.roundTimeout(), b.roundsWithoutLeader >= roundsBeforeGateways)
	b.countRound(greetings)
	b.config.Contacts.AddFromGreetings(ctx, greetings)
	observed := b.engine.Observe()
	switch {
	case observed.Cluster == "" && b.mayBootstrap(observed, greetings):
		b.bootstrapGroup(ctx, greetings)
	case !b.stableMember(observed) || removedFromGroup(observed, greetings):
		b.join(ctx, greetings)
	default:
		b.completeBootstrap(ctx, observed, greetings)
	}
}

// roundTimeout returns the timeout of one call in the next round of discovery.
func (b *Bootstrapper) roundTimeout() time.Duration {
	if b.roundsWithoutLeader > 0 {
		return b.config.CallTimeout
	}
	return b.config.CallTimeout / firstRoundDivisor
}

// countRound counts the rounds in succession in which no control node knew a leader.
func (b *Bootstrapper) countRound(greetings []discovery.Greeting) {
	for _, greeting := range greetings {
		if greeting.Reply.Leader != consensus.None {
			b.roundsWithoutLeader = 0
			return
		}
	}
	b.roundsWithoutLeader++
	if b.roundsWithoutLeader == roundsBeforeWarning {
		b.warnNoLeader(greetings)
	}
}

// warnNoLeader logs that no control node knows a leader: which members this node's log
// lists, and who answered.
func (b *Bootstrapper) warnNoLeader(greetings []discovery.Greeting) {
	answered := make([]string, 0, len(greetings))
	for _, greeting := range greetings {
		answered = append(answered, greeting.Address)
	}
	slices.Sort(answered)
	observed := b.engine.Observe()
	b.log.Warn("no control node knows a leader", "cluster", observed.Cluster, "term", observed.Status.Term,
		"members", membership.Addresses(observed.Status.Membership), "answered", answered)
}

// stableMember reports whether this node's log lists it as a voter with its current name,
// address and zone.
func (b *Bootstrapper) stableMember(observed *engine.Observation) bool {
	self, found := observed.Member(observed.Identity)
	return found && self == b.self(observed.Identity)
}

// removedFromGroup reports whether a member that knows a leader does not list this node as
// a member: it was replaced while it was frozen or partitioned.
func removedFromGroup(observed *engine.Observation, greetings []discovery.Greeting) bool {
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

// ServeHello handles peer.KindHello. The reply describes this node and the members that it
// knows.
func (b *Bootstrapper) ServeHello(_ context.Context, _ string, decode func(any) error) (any, error) {
	var hello peer.Hello
	if err := decode(&hello); err != nil {
		return nil, err
	}
	observed := b.engine.Observe()
	var gateways []string
	if hello.PeerAddress != "" {
		b.config.Contacts.RecordGateway(hello.PeerAddress)
		gateways = b.config.Contacts.Gateways()
	}
	return &peer.HelloReply{
		Gateways:             gateways,
		Name:                 b.config.Name,
		Identity:             observed.Identity,
		Cluster:              observed.Cluster,
		BootstrapCoordinator: b.recordCoordinator(observed, hello),
		Leader:               observed.Status.Leader,
		Members:              observed.Status.Membership.Members,
		Initial:              b.isInitial() && observed.Cluster == "",
	}, nil
}

// isInitial reports whether this node is an initial control node and knows it.
func (b *Bootstrapper) isInitial() bool {
	_, listed := b.config.InitialControl[b.config.Name]
	return listed
}

// recordCoordinator records the sender of a Hello as the coordinator, if this node belongs
// to no group and mayCoordinate holds for the sender. It returns the current coordinator.
// The coordinator is identified by its disk, so that AcceptBootstrap rejects a bootstrap
// that was sent by an earlier disk of the same node.
func (b *Bootstrapper) recordCoordinator(observed *engine.Observation, hello peer.Hello) consensus.ID {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if observed.Cluster == "" && hello.Identity != consensus.None && b.mayCoordinate(hello) {
		b.coordinator = hello.Identity
		b.coordinatorName = hello.Name
	}
	return b.coordinator
}

// mayCoordinate reports whether the sender of a Hello may coordinate the bootstrap. A node
// that knows the initial control nodes accepts those with a lower name than its own. Another
// one accepts every node that says that it is one, of several the one with the lowest name.
// The caller holds the mutex.
func (b *Bootstrapper) mayCoordinate(hello peer.Hello) bool {
	if len(b.config.InitialControl) > 0 {
		_, listed := b.config.InitialControl[hello.Name]
		return listed && hello.Name < b.config.Name
	}
	return hello.Initial && (b.coordinatorName == "" || hello.Name <= b.coordinatorName)
}

// ServeBootstrap handles peer.KindBootstrap: it stores the first state of a new group and
// makes this node a voter of it, unless the node belongs to a group already.
func (b *Bootstrapper) ServeBootstrap(ctx context.Context, from string, decode func(any) error) (any, error) {
	var request peer.Bootstrap
	if err := decode(&request); err != nil {
		return nil, err
	}
	b.mutex.Lock()
	coordinator := b.coordinator
	b.mutex.Unlock()
	accepted, err := b.engine.AcceptBootstrap(ctx, request, coordinator)
	if err != nil {
		return nil, err
	}
	b.log.Info("bootstrap state received", "from", from, "cluster", request.Cluster, "accepted", accepted)
	return &peer.BootstrapReply{Accepted: accepted}, nil
}

// mayBootstrap reports whether this node may bootstrap a group: it is an initial control
// node, every other one has just replied that it belongs to no group and has this node as
// its coordinator, those with lower names do not know that they are initial control nodes,
// and no other node that replied belongs to a group.
func (b *Bootstrapper) mayBootstrap(observed *engine.Observation, greetings []discovery.Greeting) bool {
	if !b.isInitial() {
		return false
	}
	for name, address := range b.config.InitialControl {
		if name == b.config.Name {
			continue
		}
		reply, answered := discovery.ReplyFrom(greetings, address)
		if name < b.config.Name && reply.Initial {
			return false
		}
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

// bootstrapGroup creates the first state of a group, stores it on this node, and sends it
// to the other initial control nodes. completeBootstrap sends it again to those that it did
// not reach.
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
		b.sendBootstrapState(ctx, member.Address, peer.Bootstrap{Cluster: cluster, Snapshot: snapshot})
	}
}

// completeBootstrap sends the group's first state to voters that never received it: the
// membership lists their disks, but they reply that they belong to no group. Such a voter
// has never voted, so it may start from any state of the group.
func (b *Bootstrapper) completeBootstrap(ctx context.Context, observed *engine.Observation, greetings []discovery.Greeting) {
	for _, greeting := range greetings {
		member, found := observed.Member(greeting.Reply.Identity)
		if !found || member.Learner || greeting.Reply.Cluster != "" {
			continue
		}
		request, err := b.engine.BootstrapState(ctx)
		if err == nil && request.Snapshot.Index > 0 {
			b.sendBootstrapState(ctx, greeting.Address, request)
		}
	}
}

// firstMembers returns the initial control nodes as members, this one first. It fails if
// one of them does not respond or has changed its identity since its Hello reply.
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
			return nil, fmt.Errorf("control: %s has changed its disk identity since its hello reply", name)
		}
		members = append(members, consensus.Member{ID: reply.Identity, Name: name, Address: address, Zone: description.Zone})
	}
	return members, nil
}

// sendBootstrapState sends the group's first state to one node. A failure is only logged:
// completeBootstrap sends it again.
func (b *Bootstrapper) sendBootstrapState(ctx context.Context, address string, request peer.Bootstrap) {
	ctx, cancel := context.WithTimeout(ctx, b.config.CallTimeout)
	defer cancel()
	var reply peer.BootstrapReply
	if err := b.config.Network.Call(ctx, address, peer.KindBootstrap, &request, &reply); err != nil {
		b.log.Warn("bootstrap state not delivered", "address", address, "error", err)
	}
}

// self describes this node as a voter of a group.
func (b *Bootstrapper) self(identity consensus.ID) consensus.Member {
	return consensus.Member{
		ID:      identity,
		Name:    b.config.Name,
		Address: b.config.PeerAddress,
		Zone:    b.config.Zone,
	}
}
