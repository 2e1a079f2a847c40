package agent

import (
	"context"
	"errors"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/transport"
)

// ErrNoPrimary means that no control node could pass the message to a primary.
var ErrNoPrimary = errors.New("agent: no primary can be reached")

// forwardTimeout bounds one node's answer to a forwarded update.
const forwardTimeout = 2 * time.Second

// Update sends one registry update toward the primary and returns its answer.
// An error other than ErrNoPrimary leaves open whether the update was applied.
func (a *Agent) Update(ctx context.Context, update registry.Update) (peer.UpdateReply, error) {
	request := peer.UpdateRequest{Update: update}
	var reply peer.UpdateReply
	err := a.forward(ctx, func(address string) (string, bool, error) {
		reply = peer.UpdateReply{}
		callContext, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		err := a.options.Network.Call(callContext, address, peer.KindUpdate, &request, &reply)
		lost := err == nil && reply.Code == registry.ServFail
		return reply.Primary, !lost, err
	})
	return reply, err
}

// SubmitOperation sends an operator's or the platform's order toward the primary.
func (a *Agent) SubmitOperation(ctx context.Context, order peer.OperationRequest) (peer.OperationReply, error) {
	var reply peer.OperationReply
	err := a.forward(ctx, func(address string) (string, bool, error) {
		reply = peer.OperationReply{}
		err := a.options.Network.Call(ctx, address, peer.KindOperation, &order, &reply)
		lost := err == nil && reply.Error != nil && reply.Error.Code == api.CodeNoPrimary
		return "", !lost, err
	})
	return reply, err
}

// forward tries the known control nodes, the primary first, until one answers.
func (a *Agent) forward(ctx context.Context, ask func(address string) (hint string, answered bool, err error)) error {
	queue := a.ControlAddresses()
	asked := make(map[string]bool)
	failure := ErrNoPrimary
	for len(queue) > 0 && ctx.Err() == nil {
		address := queue[0]
		queue = queue[1:]
		if asked[address] {
			continue
		}
		asked[address] = true
		hint, answered, err := ask(address)
		if err == nil && answered {
			return nil
		}
		var remote *transport.RemoteError
		if err != nil && !errors.As(err, &remote) {
			failure = err
		}
		if hint != "" {
			queue = append([]string{hint}, queue...)
		}
	}
	return failure
}

// serveHello names the control nodes to a process that has this one as a seed.
func (a *Agent) serveHello(_ context.Context, _ string, decode func(any) error) (any, error) {
	var hello peer.Hello
	if err := decode(&hello); err != nil {
		return nil, err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.holder.Cluster() == "" {
		return nil, errNoControl
	}
	reply := &peer.HelloReply{Name: a.options.Gateway.Name, Cluster: a.holder.Cluster()}
	for _, address := range a.contacts.members {
		reply.Members = append(reply.Members, consensus.Member{Address: address})
	}
	return reply, nil
}

// serveJoin sends a new control node on to the primary.
func (a *Agent) serveJoin(_ context.Context, _ string, decode func(any) error) (any, error) {
	var join peer.Join
	if err := decode(&join); err != nil {
		return nil, err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.holder.Cluster() == "" {
		return nil, errNoControl
	}
	reply := &peer.JoinReply{Cluster: a.holder.Cluster(), Primary: a.contacts.primary}
	for _, address := range a.contacts.members {
		reply.Members = append(reply.Members, consensus.Member{Address: address})
	}
	return reply, nil
}
