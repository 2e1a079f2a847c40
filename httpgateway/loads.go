package httpgateway

import (
	"context"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/loadexchange"
	"github.com/deckpulley/deckpulley/peer"
)

// newExchange returns the proxy's part in the exchange of loads.
func (p *Proxy) newExchange() *loadexchange.Node {
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
		Observe: p.dispatcher.Observe,
	})
}

// gatewaysUp are the gateways that take part in the exchange.
func gatewaysUp(contents *catalog.State) map[string]loadexchange.Gateway {
	up := make(map[string]loadexchange.Gateway)
	for name, gateway := range contents.Gateways() {
		if gateway.Up {
			up[name] = loadexchange.Gateway{Region: gateway.Region, Address: gateway.PeerAddress, LinkMbps: gateway.LinkMbps}
		}
	}
	return up
}

func (p *Proxy) serveReport(_ context.Context, _ string, decode func(any) error) (any, error) {
	var report peer.ReplicaLoads
	if err := decode(&report); err != nil {
		return nil, err
	}
	p.exchange.HandleReport(&report)
	return nil, nil
}

func (p *Proxy) serveDigest(_ context.Context, _ string, decode func(any) error) (any, error) {
	var digest peer.LoadDigest
	if err := decode(&digest); err != nil {
		return nil, err
	}
	p.exchange.HandleDigest(&digest)
	return nil, nil
}
