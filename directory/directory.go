// Package directory decides which gateways a client should use. It is pure.
package directory

import (
	"cmp"
	"slices"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/placement"
)

// Query is a client's question, and what the answer depends on beside the
// gateways.
type Query struct {
	// Region is the client's.
	Region string
	// Limit bounds the addresses of an answer.
	Limit int
	// Node is the name of the node that is asked. Gateways are listed in an order
	// that differs from one asked node to another.
	Node string
	// Draining says that the asked node is a gateway that ends.
	Draining bool
	// Partitioned says that the asked node has lost touch with the primary. It may be cut
	// off together with its region, while clients reach the others.
	Partitioned bool
}

// Answer returns the addresses of the gateways to use: those of the client's
// region, or of all regions if none is up there or the asked node is cut off, so
// that what the region cannot serve is served elsewhere.
func (q *Query) Answer(gateways map[string]catalog.Gateway) []string {
	names := q.usable(gateways, func(other catalog.Gateway) bool { return other.Region == q.Region })
	if len(names) == 0 || q.Partitioned {
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
func (q *Query) usable(gateways map[string]catalog.Gateway, wanted func(catalog.Gateway) bool) []string {
	var names []string
	for name, other := range gateways {
		leaving := name == q.Node && q.Draining
		if other.Up && wanted(other) && !leaving {
			names = append(names, name)
		}
	}
	asked := placement.Hash(q.Node)
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(placement.Score(asked, placement.Hash(a)), placement.Score(asked, placement.Hash(b)))
	})
	return names
}
