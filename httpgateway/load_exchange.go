package httpgateway

import (
	"context"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/loadexchange"
	"github.com/deckpulley/deckpulley/peer"
)

// newLoadExchange returns the node through which the Proxy exchanges replica loads with
// the other gateways.
func (p *Proxy) newLoadExchange() *loadexchange.Node {
	network := p.options.Network
	return loadexchange.NewNode(loadexchange.Config{
		Name:       p.options.Info.Name,
		Region:     p.options.Info.Region,
		LoadSource: p.dispatcher,
		SendReport: func(address string, report *peer.ReplicaLoads) {
			network.Send(address, peer.KindReplicaLoads, report)
		},
		SendDigest: func(address string, digest *peer.LoadDigest) {
			network.Send(address, peer.KindLoadDigest, digest)
		},
		Observe: p.dispatcher.HandleRegionLoads,
	})
}

// gatewaysUp returns the gateways that are up, by name. These take part in the exchange
// of loads.
func gatewaysUp(state *catalog.State) map[string]loadexchange.Gateway {
	up := make(map[string]loadexchange.Gateway)
	for name, gateway := range state.Gateways() {
		if gateway.Up {
			up[name] = loadexchange.Gateway{Region: gateway.Region, Address: gateway.PeerAddress, LinkMbps: gateway.LinkMbps}
		}
	}
	return up
}

// handleReport handles a load report from another gateway. It sends no reply.
func (p *Proxy) handleReport(_ context.Context, _ string, decode func(any) error) (any, error) {
	var report peer.ReplicaLoads
	if err := decode(&report); err != nil {
		return nil, err
	}
	p.loadExchange.HandleReport(&report)
	return nil, nil
}

// handleDigest handles a load digest from another gateway. It sends no reply.
func (p *Proxy) handleDigest(_ context.Context, _ string, decode func(any) error) (any, error) {
	var digest peer.LoadDigest
	if err := decode(&digest); err != nil {
		return nil, err
	}
	p.loadExchange.HandleDigest(&digest)
	return nil, nil
}
