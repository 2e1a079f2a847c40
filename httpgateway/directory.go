package httpgateway

import (
	"cmp"
	"slices"

	"github.com/deckpulley/deckpulley/placement"
	"github.com/deckpulley/deckpulley/places"
)

// Where returns the addresses of the gateways that a client of a region should
// use, at most limit: those of its own region, or of the others if none is up
// there. It is empty when none is known.
func (g *Gateway) Where(region string, limit int) []string {
	contents := g.agent.Active()
	if contents == nil {
		return nil
	}
	own := g.addresses(contents, func(other places.Gateway) bool { return other.Region == region })
	if len(own) == 0 {
		own = g.addresses(contents, func(places.Gateway) bool { return true })
	}
	return own[:min(limit, len(own))]
}

// addresses lists the clients' addresses of gateways that are up, in an order
// that differs from gateway to gateway.
func (g *Gateway) addresses(contents *places.Contents, wanted func(places.Gateway) bool) []string {
	var names []string
	for name, other := range contents.Gateways() {
		if other.Up && wanted(other) && !g.leavingItself(name) {
			names = append(names, name)
		}
	}
	own := placement.Hash(g.options.Info.Name)
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(placement.Score(own, placement.Hash(a)), placement.Score(own, placement.Hash(b)))
	})
	list := make([]string, 0, len(names))
	for _, name := range names {
		list = append(list, contents.Gateways()[name].HTTPAddress)
	}
	return list
}

func (g *Gateway) leavingItself(name string) bool {
	return name == g.options.Info.Name && g.leaving.Load()
}
