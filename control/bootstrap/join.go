package bootstrap

import (
	"context"
	"errors"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/discovery"
	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/peer"
)

var (
	// errNotAccepted means that this node's request to join was accepted by no group.
	errNotAccepted = errors.New("control: no group accepted the join request")
	// errNoIdentity rejects a join request that does not identify its sender.
	errNoIdentity = errors.New("control: join request has no identity or no address")
)

// join asks the primary of a discovered group to add this node. If it accepts, this node
// enters the group with an empty log.
func (b *Bootstrapper) join(ctx context.Context, greetings []discovery.Greeting) {
	observed := b.engine.Observe()
	reply, err := b.requestJoin(ctx, observed, greetings)
	if err != nil {
		b.log.Debug("join failed", "error", err)
		return
	}
	b.config.Contacts.AddMembers(ctx, reply.Members)
	if !reply.Accepted || observed.Cluster != "" {
		return
	}
	if _, err = b.engine.EnterGroup(ctx, reply.Cluster, consensus.Snapshot{}); err != nil {
		b.log.Debug("join failed", "error", err)
	}
}

// requestJoin sends a join request to each discovered member, and to the primary that its
// reply names, until one accepts.
func (b *Bootstrapper) requestJoin(ctx context.Context, observed *engine.Observation, greetings []discovery.Greeting) (peer.JoinReply, error) {
	asked := make(map[string]bool)
	for _, greeting := range greetings {
		cluster := greeting.Reply.Cluster
		if cluster == "" || observed.Cluster != "" && cluster != observed.Cluster {
			continue
		}
		reply, err := b.callJoin(ctx, greeting.Address)
		b.config.Contacts.SetPrimary(reply.Primary)
		if err == nil && !reply.Accepted && reply.Primary != "" && reply.Primary != greeting.Address && !asked[reply.Primary] {
			asked[reply.Primary] = true // several members may name a primary that is lost
			reply, err = b.callJoin(ctx, reply.Primary)
		}
		if err == nil && reply.Accepted {
			return reply, nil
		}
	}
	return peer.JoinReply{}, errNotAccepted
}

func (b *Bootstrapper) callJoin(ctx context.Context, address string) (peer.JoinReply, error) {
	ctx, cancel := context.WithTimeout(ctx, b.roundTimeout())
	defer cancel()
	join := peer.Join{Member: b.self(b.engine.Observe().Identity)}
	var reply peer.JoinReply
	err := b.config.Network.Call(ctx, address, peer.KindJoin, &join, &reply)
	return reply, err
}

// ServeJoin handles peer.KindJoin, the join request of a node with a new disk, name, address
// or zone.
func (b *Bootstrapper) ServeJoin(ctx context.Context, _ string, decode func(any) error) (any, error) {
	var join peer.Join
	if err := decode(&join); err != nil {
		return nil, err
	}
	if join.Member.ID == consensus.None || join.Member.Address == "" {
		return nil, errNoIdentity
	}
	reply, err := b.engine.Join(ctx, join.Member)
	if err != nil {
		return nil, err
	}
	return &reply, nil
}
