package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

// Parameters of the exchange of utilizations between regions.
const (
	gossipInterval = time.Second
	// maxGossipPeers bounds the gateways to which the utilization is sent in each interval.
	maxGossipPeers = 8
)

// gossipUtilization sends the utilization of this region to up to maxGossipPeers random
// gateways of other regions, once in each interval until ctx ends. It pauses without a
// lease and while the gateway drains.
func (g *Gateway) gossipUtilization(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	digest := peer.RegionUtilization{Region: g.region(), Gateway: g.options.Info.Name}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !g.agent.Valid() || g.draining.Load() {
			continue
		}
		digest.Sequence++
		digest.UtilizationByService = g.router.Utilization()
		for _, address := range g.gossipTargets(maxGossipPeers) {
			g.options.Network.Send(address, peer.KindRegionUtilization, &digest)
		}
	}
}

// gossipTargets returns the peer addresses of up to limit gateways of other regions. Those
// of regions that may spill requests to this one come first.
func (g *Gateway) gossipTargets(limit int) []string {
	active := g.agent.Active()
	if active == nil {
		return nil
	}
	regions := active.Regions()
	var addresses, others []string
	for _, member := range active.Gateways() {
		switch {
		case member.Region == g.region() || !member.Up:
		case slices.Contains(regions[member.Region].Spill, g.region()):
			addresses = append(addresses, member.PeerAddress)
		default:
			others = append(others, member.PeerAddress)
		}
	}
	g.shuffle(addresses)
	g.shuffle(others)
	addresses = append(addresses, others...)
	return addresses[:min(len(addresses), limit)]
}

// serveUtilization handles peer.KindRegionUtilization: it records the utilization of
// another region.
func (g *Gateway) serveUtilization(_ context.Context, _ string, decode func(any) error) (any, error) {
	var digest peer.RegionUtilization
	if err := decode(&digest); err != nil {
		return nil, err
	}
	if digest.Region != g.region() {
		g.router.RecordRemoteUtilization(digest.Region, digest.UtilizationByService, time.Now())
	}
	return nil, nil
}
