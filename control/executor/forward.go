package executor

import (
	"context"
	"errors"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/control/apierror"
	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/control/updates"
	"github.com/deckpulley/deckpulley/peer"
)

// answerReserve is the part of the remaining time that a forwarding node reserves for
// returning the answer.
const answerReserve = 100 * time.Millisecond

// errEmptyReply means that a reply contains neither an answer nor an error.
var errEmptyReply = errors.New("control: the primary's reply to an order contains neither an answer nor an error")

// Serve handles peer.KindOperation, an operation forwarded by another control node.
func (e *Executor) Serve(ctx context.Context, _ string, decode func(any) error) (any, error) {
	var request peer.OperationRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	wait := min(max(time.Duration(request.WaitMS)*time.Millisecond, answerReserve), MaxWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	reply := e.Execute(ctx, request)
	return &reply, nil
}

// forward sends an operation to the primary.
func (e *Executor) forward(ctx context.Context, observed *engine.Observation, execution *execution) attemptResult {
	primary := e.config.Contacts.PrimaryAddress(observed)
	if primary == "" || primary == e.config.PeerAddress {
		return tryAgain
	}
	if execution.Request().Hops >= updates.MaxHops {
		return rejected(apierror.NoPrimary("forwarded too often without reaching the primary", api.OutcomeUnknown))
	}
	reply, err := e.callPrimary(ctx, primary, execution.Request())
	execution.maybeExecuted = true
	if err != nil {
		e.log.Debug("operation forwarding failed", "order", execution.ID(), "primary", primary, "error", err)
		return tryAgain
	}
	if reply.Error != nil && reply.Error.Code == api.CodeNoPrimary {
		return tryAgain // that node did not execute it, but an earlier attempt may have
	}
	return attemptResult{reply: reply, final: true}
}

// callPrimary sends an operation to the primary and returns its reply. It cancels the
// call if another node becomes the primary, since the former one may be frozen. After
// an error the operation may have been executed, or may be executed later.
func (e *Executor) callPrimary(ctx context.Context, primary string, request peer.OperationRequest) (peer.OperationReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		e.engine.WaitUntil(ctx, func(o *engine.Observation) bool { return e.config.Contacts.PrimaryAddress(o) != primary })
		cancel()
	}()
	request.Hops++
	if deadline, bounded := ctx.Deadline(); bounded {
		request.WaitMS = (time.Until(deadline) - answerReserve).Milliseconds()
	}
	var reply peer.OperationReply
	if err := e.config.Network.Call(ctx, primary, peer.KindOperation, &request, &reply); err != nil {
		return peer.OperationReply{}, err
	}
	if reply.Answer == nil && reply.Error == nil {
		return peer.OperationReply{}, errEmptyReply
	}
	return reply, nil
}
