// Package directory decides which gateways a client should use. It is pure.
package directory

import (
	"cmp"
	"slices"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/placement"
)

// Question is a client's question, and what the answer depends on beside the
// gateways.
type Question struct {
	// Region is the client's.
	Region string
	// Limit bounds the addresses of an answer.
	Limit int
	// Asked is the name of the node that is asked. Gateways are listed in an order
	// that differs from one asked node to another.
	Asked string
	// Leaving says that the asked node is a gateway that ends.
	Leaving bool
	// CutOff says that the asked node has lost touch with the primary. It may be cut
	// off together with its region, while clients reach the others.
	CutOff bool
}

// Answer returns the addresses of the gateways to use: those of the client's
// region, or of all regions if none is up there or the asked node is cut off, so
// that what the region cannot serve is served elsewhere.
func (q *Question) Answer(gateways map[string]catalog.Gateway) []string {
	names := q.usable(gateways, func(other catalog.Gateway) bool { return other.Region == q.Region })
	if len(names) == 0 || q.CutOff {
		names = q.usable(gateways, func(catalog.Gateway) bool { return true })
	}
	names = names[:min(q.Limit, len(names))]
	list := make([]string, 0, len(names))
	for _, name := range names {
		list = append(list, gateways[name].HTTPAddress)
	}
	return list
}

// usable lists the gateways that are up.
func (q *Question) usable(gateways map[string]catalog.Gateway, wanted func(catalog.Gateway) bool) []string {
	var names []string
	for name, other := range gateways {
		leaving := name == q.Asked && q.Leaving
		if other.Up && wanted(other) && !leaving {
			names = append(names, name)
		}
	}
	asked := placement.Hash(q.Asked)
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(placement.Score(asked, placement.Hash(a)), placement.Score(asked, placement.Hash(b)))
	})
	return names
}
