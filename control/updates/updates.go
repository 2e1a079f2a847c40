// Package updates serves the registry updates of gateways, which report the conditions of
// replicas. The primary applies them; other control nodes forward them to it.
package updates

import (
	"context"
	"log/slog"
	"time"

	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/control/permission"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/transport"
)

const (
	// MaxHops bounds how often an update is forwarded, since forwarding loops are not
	// detected.
	MaxHops = 3
	// timeout bounds the handling of one update, including forwarding.
	timeout = 5 * time.Second
)

// Forwarder serves the updates that arrive at one node. Its methods are safe for concurrent
// use.
type Forwarder struct {
	engine      *engine.Engine
	network     transport.Network
	peerAddress string
	log         *slog.Logger
}

// New returns the forwarder of the node at a peer address.
func New(engine *engine.Engine, network transport.Network, peerAddress string, log *slog.Logger) *Forwarder {
	return &Forwarder{engine: engine, network: network, peerAddress: peerAddress, log: log}
}

// Serve handles peer.KindUpdate. The first node that receives an update sets its requestor
// to the sending gateway.
func (f *Forwarder) Serve(ctx context.Context, from string, decode func(any) error) (any, error) {
	var request peer.UpdateRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	if request.Hops == 0 {
		request.Update.Requestor = permission.Gateway(from)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply := f.update(ctx, request)
	return &reply, nil
}

// update applies an update if this node is the primary, and otherwise forwards it. It
// replies only after the primary has (RFC 2136, section 6.4).
func (f *Forwarder) update(ctx context.Context, request peer.UpdateRequest) peer.UpdateReply {
	observed := f.engine.Observe()
	if !observed.Primary {
		return f.forward(ctx, observed, request)
	}
	result, err := f.engine.Propose(ctx, request.Update)
	if err != nil {
		return peer.UpdateReply{Code: registry.ServFail, Serial: observed.Serial, Primary: f.engine.Observe().LeaderAddress()}
	}
	return peer.UpdateReply{Code: result.Code, Serial: result.Serial}
}

// forward forwards an update to the primary and returns its reply, or a server failure if
// no primary is known, it cannot be reached or the update has been forwarded MaxHops times.
func (f *Forwarder) forward(ctx context.Context, observed *engine.Observation, request peer.UpdateRequest) peer.UpdateReply {
	primary := observed.LeaderAddress()
	failed := peer.UpdateReply{Code: registry.ServFail, Serial: observed.Serial, Primary: primary}
	if primary == "" || primary == f.peerAddress || request.Hops >= MaxHops {
		return failed
	}
	request.Hops++
	var reply peer.UpdateReply
	if err := f.network.Call(ctx, primary, peer.KindUpdate, &request, &reply); err != nil {
		f.log.Debug("update forwarding failed", "primary", primary, "error", err)
		return failed
	}
	return reply
}
