package agent

import (
	"context"
	"errors"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/transport"
)

// ErrNoPrimary is returned if no known control node is the primary or could forward
// the message to it.
var ErrNoPrimary = errors.New("agent: the primary cannot be reached through any control node")

// forwardTimeout is the timeout of one call of Update to a control node.
const forwardTimeout = 2 * time.Second

// Update forwards a registry update to the primary and returns the primary's reply.
// After an error other than ErrNoPrimary it is unknown whether the update was applied.
func (a *Agent) Update(ctx context.Context, update registry.Update) (peer.UpdateReply, error) {
	request := peer.UpdateRequest{Update: update}
	var reply peer.UpdateReply
	err := a.forward(ctx, func(address string) (string, bool, error) {
		reply = peer.UpdateReply{}
		callContext, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		err := a.options.Network.Call(callContext, address, peer.KindUpdate, &request, &reply)
		noPrimary := err == nil && reply.Code == registry.ServFail
		return reply.Primary, !noPrimary, err
	})
	return reply, err
}

// SubmitOperation forwards an operation requested by an operator or by the platform
// to the primary and returns the primary's reply. Errors are those of Update.
func (a *Agent) SubmitOperation(ctx context.Context, operation peer.OperationRequest) (peer.OperationReply, error) {
	var reply peer.OperationReply
	err := a.forward(ctx, func(address string) (string, bool, error) {
		reply = peer.OperationReply{}
		err := a.options.Network.Call(ctx, address, peer.KindOperation, &operation, &reply)
		noPrimary := err == nil && reply.Error != nil && reply.Error.Code == api.CodeNoPrimary
		return "", !noPrimary, err
	})
	return reply, err
}

// forward calls the known control nodes, the primary first, until one returns the
// primary's reply. send calls one node: redirect is the address of the primary that the
// node named, if any, and replied reports whether the reply came from the primary.
func (a *Agent) forward(ctx context.Context, send func(address string) (redirect string, replied bool, err error)) error {
	queue := a.ControlAddresses()
	tried := make(map[string]bool)
	failure := ErrNoPrimary
	for len(queue) > 0 && ctx.Err() == nil {
		address := queue[0]
		queue = queue[1:]
		if tried[address] {
			continue
		}
		tried[address] = true
		redirect, replied, err := send(address)
		if err == nil && replied {
			return nil
		}
		var remote *transport.RemoteError
		if err != nil && !errors.As(err, &remote) {
			failure = err
		}
		if redirect != "" {
			queue = append([]string{redirect}, queue...)
		}
	}
	return failure
}
