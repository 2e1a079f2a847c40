package httpgateway

import (
	"cmp"
	"slices"

	"github.com/deckpulley/deckpulley/placement"
	"github.com/deckpulley/deckpulley/places"
)

// Where returns the addresses of the gateways that a client of a region should
// use, at most limit: those of its own region, or of the others if none is up
// there. A gateway without a lease may be cut off together with its region, while
// clients reach the others: it names them too, so that what the region cannot
// serve is served elsewhere. The list is empty when no gateway is known.
func (g *Gateway) Where(region string, limit int) []string {
	contents := g.agent.Active()
	if contents == nil {
		return nil
	}
	question := question{region: region, limit: limit, own: g.options.Info.Name, leaving: g.leaving.Load()}
	question.cutOff = !question.leaving && !g.agent.Valid()
	return question.answer(contents.Gateways())
}

// question is what the answer to a client depends on beside the gateways.
type question struct {
	region  string
	limit   int
	own     string // name of the gateway that is asked
	leaving bool   // it is leaving
	cutOff  bool   // it has no lease
}

func (q *question) answer(gateways map[string]places.Gateway) []string {
	names := q.usable(gateways, func(other places.Gateway) bool { return other.Region == q.region })
	if len(names) == 0 || q.cutOff {
		names = q.usable(gateways, func(places.Gateway) bool { return true })
	}
	names = names[:min(q.limit, len(names))]
	list := make([]string, 0, len(names))
	for _, name := range names {
		list = append(list, gateways[name].HTTPAddress)
	}
	return list
}

// usable lists gateways that are up, in an order that differs from one asked
// gateway to another.
func (q *question) usable(gateways map[string]places.Gateway, wanted func(places.Gateway) bool) []string {
	var names []string
	for name, other := range gateways {
		leaving := name == q.own && q.leaving
		if other.Up && wanted(other) && !leaving {
			names = append(names, name)
		}
	}
	own := placement.Hash(q.own)
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(placement.Score(own, placement.Hash(a)), placement.Score(own, placement.Hash(b)))
	})
	return names
}
