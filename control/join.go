package control

import (
	"context"
	"errors"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/peer"
)

// Joining: a disk without a group that finds a group asks to become its member.

// errNoGroup means that nobody who answered belongs to a group.
var errNoGroup = errors.New("control: no group found")

// join asks the primary of a found group to add this node.
func (n *Node) join(ctx context.Context, replies []greeting) {
	observed := n.observe()
	reply, err := n.askToJoin(ctx, observed, replies)
	if err != nil {
		n.log.Debug("not joined", "error", err)
		return
	}
	n.remember(ctx, reply.Members)
	if !reply.Accepted || observed.cluster != "" {
		return
	}
	_, err = ask(ctx, n, func(now time.Duration) bool {
		return n.machine.cluster == "" && n.machine.adopt(now, reply.Cluster, consensus.Snapshot{})
	})
	if err != nil {
		n.log.Debug("not joined", "error", err)
	}
}

// askToJoin asks the members that were found, following their hints to the primary.
func (n *Node) askToJoin(ctx context.Context, observed *observation, replies []greeting) (peer.JoinReply, error) {
	for _, greeting := range replies {
		cluster := greeting.reply.Cluster
		if cluster == "" || observed.cluster != "" && cluster != observed.cluster {
			continue
		}
		reply, err := n.callJoin(ctx, greeting.address)
		n.outsider.notePrimary(reply.Primary)
		if err == nil && !reply.Accepted && reply.Primary != "" && reply.Primary != greeting.address {
			reply, err = n.callJoin(ctx, reply.Primary)
		}
		if err == nil && reply.Accepted {
			return reply, nil
		}
	}
	return peer.JoinReply{}, errNoGroup
}

func (n *Node) callJoin(ctx context.Context, address string) (peer.JoinReply, error) {
	ctx, cancel := context.WithTimeout(ctx, n.options.CallTimeout)
	defer cancel()
	join := peer.Join{Member: n.self(n.observe().identity)}
	var reply peer.JoinReply
	err := n.network.Call(ctx, address, peer.KindJoin, &join, &reply)
	return reply, err
}

// serveJoin takes the request of a node whose disk is new, or whose address is.
func (n *Node) serveJoin(ctx context.Context, _ string, decode func(any) error) (any, error) {
	var join peer.Join
	if err := decode(&join); err != nil {
		return nil, err
	}
	if join.Member.ID == consensus.None || join.Member.Address == "" {
		return nil, errors.New("control: join without identity or address")
	}
	reply, err := ask(ctx, n, func(now time.Duration) peer.JoinReply {
		return n.machine.join(now, join.Member)
	})
	if err != nil {
		return nil, err
	}
	return &reply, nil
}
