package loadexchange

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/placement"
)

// maxGroupSize is the mean size of the groups of a region beyond which it has more of
// them. The number of groups is a power of two, so that a change splits or joins
// groups and leaves half of the gateways where they are.
const maxGroupSize = 16

// groupCount returns the number of groups of a region with so many gateways.
func groupCount(gateways int) int {
	groups := 1
	for gateways > groups*maxGroupSize {
		groups *= 2
	}
	return groups
}

// groupOf returns the group of a gateway in a region with so many groups, and 0 in a
// region in which no group is known yet.
func groupOf(name string, groups int) int {
	return int(placement.Hash(name) % uint64(max(groups, 1)))
}

// splitIntoGroups sorts the gateways of one region into groups, some of which may be
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

// peerGroup is another group of the own region, as an aggregator sees it.
type peerGroup struct {
	// aggregator is the gateway that sent the group's newest digest, at receivedAt.
	aggregator string
	receivedAt time.Time
}

// groupOf returns the group of a gateway of the own region.
func (x *Exchange) groupOf(name string) int {
	return groupOf(name, len(x.groups[x.region]))
}

// ownGroup returns the gateways of the own group, or nil as long as the registry has no
// gateway of the own region.
func (x *Exchange) ownGroup() []string {
	groups := x.groups[x.region]
	if len(groups) == 0 {
		return nil
	}
	return groups[x.groupOf(x.name)]
}

// peerAggregators returns the aggregators of the other groups of the region: the sender
// of the group's newest digest if that is recent, otherwise the owner.
func (x *Exchange) peerAggregators(now time.Time) []string {
	var aggregators []string
	own := x.groupOf(x.name)
	for group, names := range x.groups[x.region] {
		if len(names) == 0 || group == own {
			continue
		}
		known, found := x.aggregator.peerGroups[group]
		if found && now.Sub(known.receivedAt) < aggregatorTimeout {
			aggregators = append(aggregators, known.aggregator)
			continue
		}
		aggregators = append(aggregators, x.owner(x.region, names, excludeNone))
	}
	return aggregators
}

// remoteAggregator returns the aggregator in another region that receives this group's
// digests: that of the group with the same number, or of the next group that is not
// empty. It returns "" if there is none.
func (x *Exchange) remoteAggregator(region string) string {
	groups := x.groups[region]
	first := x.groupOf(x.name)
	for i := range groups {
		names := groups[(first+i)%len(groups)]
		if len(names) > 0 {
			return x.owner(region, names, excludeNone)
		}
	}
	return ""
}

// owner returns the gateway that aggregates a group: the owner of the region's name by
// rendezvous hashing among the gateways that have the widest link and are not excluded.
// If all of them are excluded, exclusion is ignored.
func (x *Exchange) owner(region string, names []string, excluded func(name string) bool) string {
	widest := -1
	var candidates []string
	for _, name := range names {
		link := x.gateways[name].LinkMbps
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

// excludeNone excludes no gateway from being the owner.
func excludeNone(string) bool { return false }
