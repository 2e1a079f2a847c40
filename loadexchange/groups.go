package loadexchange

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/placement"
)

// maxGroupSize is the largest average size of the groups of a region. If it is exceeded, the
// number of groups doubles. Because this number is always a power of two, a change splits
// or joins groups, and half of the gateways stay in their group.
const maxGroupSize = 16

// groupCount returns the number of groups of a region with the given number of gateways.
func groupCount(gateways int) int {
	groups := 1
	for gateways > groups*maxGroupSize {
		groups *= 2
	}
	return groups
}

// groupOf returns the number of a gateway's group in a region with the given number of
// groups. It returns 0 if the number of groups is 0, as in a region without known gateways.
func groupOf(name string, groups int) int {
	return int(placement.Hash(name) % uint64(max(groups, 1)))
}

// splitIntoGroups divides the gateways of one region into groups, some of which may be
// empty. It sorts names in place.
func splitIntoGroups(names []string) [][]string {
	groups := make([][]string, groupCount(len(names)))
	slices.Sort(names)
	for _, name := range names {
		group := groupOf(name, len(groups))
		groups[group] = append(groups[group], name)
	}
	return groups
}

// peerGroup is what an aggregator knows of another group of its region.
type peerGroup struct {
	// aggregator is the gateway that sent the group's newest digest, at receivedAt.
	aggregator string
	receivedAt time.Time
}

// groupOf returns the number of the group of a gateway of the own region.
func (e *Exchange) groupOf(name string) int {
	return groupOf(name, len(e.groups[e.region]))
}

// ownGroup returns the gateways of the own group, or nil if no gateway of the own region is
// known.
func (e *Exchange) ownGroup() []string {
	groups := e.groups[e.region]
	if len(groups) == 0 {
		return nil
	}
	return groups[e.groupOf(e.name)]
}

// peerAggregators returns the aggregators of the other groups of the region. For each group
// this is the sender of its newest digest if that is recent, otherwise its owner.
func (e *Exchange) peerAggregators(now time.Time) []string {
	var aggregators []string
	own := e.groupOf(e.name)
	for group, names := range e.groups[e.region] {
		if len(names) == 0 || group == own {
			continue
		}
		known, found := e.aggregator.peerGroups[group]
		if found && now.Sub(known.receivedAt) < aggregatorTimeout {
			aggregators = append(aggregators, known.aggregator)
			continue
		}
		aggregators = append(aggregators, e.owner(e.region, names, excludeNone))
	}
	return aggregators
}

// remoteAggregator returns the aggregator in another region to which this group sends its
// digests. It belongs to the group with the same number, modulo the number of groups there,
// or to the next group that is not empty. The result is "" if the region has no gateway.
func (e *Exchange) remoteAggregator(region string) string {
	groups := e.groups[region]
	first := e.groupOf(e.name)
	for i := range groups {
		names := groups[(first+i)%len(groups)]
		if len(names) > 0 {
			return e.owner(region, names, excludeNone)
		}
	}
	return ""
}

// owner returns the gateway that should aggregate a group. Rendezvous hashing of the
// region's name chooses it among the gateways of the group that are not excluded and, of
// these, have the widest link. If all are excluded, it chooses among all gateways of the
// group.
func (e *Exchange) owner(region string, names []string, excluded func(name string) bool) string {
	widest := -1
	var candidates []string
	for _, name := range names {
		link := e.gateways[name].LinkMbps
		if excluded(name) || link < widest {
			continue
		}
		if link > widest {
			widest = link
			candidates = nil
		}
		candidates = append(candidates, name)
	}
	if len(candidates) == 0 {
		candidates = names
	}
	return placement.Owner(region, candidates)
}

// excludeNone is the argument of owner that excludes no gateway.
func excludeNone(string) bool { return false }
