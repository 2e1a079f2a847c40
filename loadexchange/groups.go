package loadexchange

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/placement"
)

// mostMembers is the number of gateways beyond which a region has one more group,
// about: their number is a power of two, so that a change of it splits or joins
// groups and leaves half of the gateways where they are.
const mostMembers = 16

// groupsFor is the number of groups of a region with so many gateways.
func groupsFor(gateways int) int {
	groups := 1
	for gateways > groups*mostMembers {
		groups *= 2
	}
	return groups
}

// groupOf is the group of a gateway in a region with so many groups: 0 in one of which
// none is known yet.
func groupOf(name string, groups int) int {
	return int(placement.Hash(name) % uint64(max(groups, 1)))
}

// split sorts the gateways of one region into groups, some of which may be empty.
func split(names []string) [][]string {
	groups := make([][]string, groupsFor(len(names)))
	slices.Sort(names)
	for _, name := range names {
		at := groupOf(name, len(groups))
		groups[at] = append(groups[at], name)
	}
	return groups
}

// peerGroup is another group of the own region, as an aggregator sees it.
type peerGroup struct {
	// heard is the gateway that sent its newest digest, at a time.
	heard string
	at    time.Time
}

// groupOf is the group of a gateway of the own region.
func (x *Exchange) groupOf(name string) int {
	return groupOf(name, len(x.groups[x.region]))
}

// near are the gateways of the own group.
func (x *Exchange) near() []string {
	groups := x.groups[x.region]
	if len(groups) == 0 {
		return nil // the registry names no gateway of the region yet
	}
	return groups[x.groupOf(x.name)]
}

// peers are the aggregators of the other groups of the region: those whose digests
// came lately, else the owners.
func (x *Exchange) peers(now time.Time) []string {
	var peers []string
	own := x.groupOf(x.name)
	for at, names := range x.groups[x.region] {
		if len(names) == 0 || at == own {
			continue
		}
		if known, found := x.sum.peers[at]; found && now.Sub(known.at) < silence {
			peers = append(peers, known.heard)
			continue
		}
		peers = append(peers, x.owner(x.region, names, nobody))
	}
	return peers
}

// correspondent is the aggregator in another region that gets this group's digests:
// of the group with the same number, or the next one that is not empty.
func (x *Exchange) correspondent(region string) string {
	groups := x.groups[region]
	first := x.groupOf(x.name)
	for i := range groups {
		names := groups[(first+i)%len(groups)]
		if len(names) > 0 {
			return x.owner(region, names, nobody)
		}
	}
	return ""
}
