// Package readindex implements linearizable reads, which observe everything that was
// acknowledged before they began. The primary confirms that it still leads and returns its
// commit index; the reader waits until it has applied that index.
package readindex

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/control/apierror"
	"github.com/deckpulley/deckpulley/control/driver"
	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/control/message"
	"github.com/deckpulley/deckpulley/transport"
)

// Reader does the linearizable reads of one node. Its methods are safe for concurrent
// use.
type Reader struct {
	engine      *engine.Engine
	network     transport.Network
	peerAddress string
	callTimeout time.Duration
}

// New returns the reader of the node at a peer address. callTimeout bounds the handling of
// a request of another node.
func New(engine *engine.Engine, network transport.Network, peerAddress string, callTimeout time.Duration) *Reader {
	return &Reader{engine: engine, network: network, peerAddress: peerAddress, callTimeout: callTimeout}
}

// Linearizable waits until this node has applied everything that was acknowledged before
// the call, and returns its observation.
func (r *Reader) Linearizable(ctx context.Context) (*engine.Observation, *api.Error) {
	index, err := r.readIndex(ctx)
	if err != nil {
		return nil, apierror.NoPrimary("requesting the primary's commit index failed: "+err.Error(), api.OutcomeRefused)
	}
	if !r.engine.WaitUntil(ctx, func(o *engine.Observation) bool { return o.Applied >= index }) {
		return nil, apierror.NoPrimary("this node did not catch up with the primary in time", api.OutcomeRefused)
	}
	return r.engine.Observe(), nil
}

// Serve handles message.KindReadIndex. It fails unless this node is the primary.
func (r *Reader) Serve(ctx context.Context, _ string, _ func(any) error) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout)
	defer cancel()
	index, err := r.ownReadIndex(ctx)
	if err != nil {
		return nil, err
	}
	return &message.ReadIndexReply{Index: index}, nil
}

// readIndex returns the index that this node must have applied before it may answer a
// read that begins now. It asks the primary unless this node is the primary.
func (r *Reader) readIndex(ctx context.Context) (uint64, error) {
	observed := r.engine.Observe()
	if observed.Primary {
		return r.ownReadIndex(ctx)
	}
	primary := observed.LeaderAddress()
	if primary == "" || primary == r.peerAddress {
		return 0, driver.ErrNotPrimary
	}
	var reply message.ReadIndexReply
	if err := r.network.Call(ctx, primary, message.KindReadIndex, &message.ReadIndexRequest{}, &reply); err != nil {
		return 0, err
	}
	return reply.Index, nil
}

// ownReadIndex returns this primary's commit index once a majority has acknowledged a
// heartbeat that was sent after the read began.
func (r *Reader) ownReadIndex(ctx context.Context) (uint64, error) {
	barrier, err := r.engine.ReadBarrier(ctx)
	if err != nil || !barrier.Primary {
		return 0, driver.ErrNotPrimary
	}
	confirmed := false
	r.engine.WaitUntil(ctx, func(o *engine.Observation) bool {
		if !o.Primary || o.Status.Term != barrier.Term {
			return true
		}
		confirmed = o.QuorumContactKnown && o.QuorumContact >= barrier.AskedAt
		return confirmed
	})
	if !confirmed {
		return 0, driver.ErrNotPrimary
	}
	return barrier.Commit, nil
}
