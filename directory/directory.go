// Package directory selects the gateway addresses that a node returns to a client
// that asks where to send its requests. Its functions are pure: they do no I/O and
// read no clock.
package directory

import (
	"cmp"
	"slices"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/placement"
)

// Query is a client's request for gateway addresses, together with the state of the
// node that answers it.
type Query struct {
	// Region is the client's region.
	Region string
	// Limit is the maximum number of addresses to return.
	Limit int
	// Node is the name of the answering node. The order of the addresses depends
	// on it, so that clients that ask different nodes prefer different gateways.
	Node string
	// Draining is set if the answering node is a gateway that is shutting down. It
	// then excludes itself.
	Draining bool
	// Partitioned is set if the answering node has lost contact with the primary.
	// It may be partitioned together with its whole region while clients still
	// reach the other regions.
	Partitioned bool
}

// Answer returns the HTTP addresses of the gateways to use, at most Limit of
// them, in order of preference. These are the gateways of the client's region that
// are up, or those of all regions if the client's region has none up or the
// answering node is partitioned.
func (q *Query) Answer(gateways map[string]catalog.Gateway) []string {
	inRegion := func(gateway catalog.Gateway) bool { return gateway.Region == q.Region }
	inAnyRegion := func(catalog.Gateway) bool { return true }
	names := q.usable(gateways, inRegion)
	if len(names) == 0 || q.Partitioned {
		names = q.usable(gateways, inAnyRegion)
	}
	names = names[:min(q.Limit, len(names))]
	addresses := make([]string, 0, len(names))
	for _, name := range names {
		addresses = append(addresses, gateways[name].HTTPAddress)
	}
	return addresses
}

// usable returns the names of the matching gateways that are up, except the
// answering node if it is draining. Rendezvous hashing with the answering node's
// name determines their order.
func (q *Query) usable(gateways map[string]catalog.Gateway, matches func(catalog.Gateway) bool) []string {
	var names []string
	for name, gateway := range gateways {
		draining := name == q.Node && q.Draining
		if gateway.Up && matches(gateway) && !draining {
			names = append(names, name)
		}
	}
	node := placement.Hash(q.Node)
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(placement.Score(node, placement.Hash(a)), placement.Score(node, placement.Hash(b)))
	})
	return names
}
