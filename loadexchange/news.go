package loadexchange

import (
	"maps"
	"slices"

	"github.com/deckpulley/deckpulley/peer"
)

// news is what gateways placed and measured and others have yet to hear.
type news struct {
	items
	// placed counts the prompts, and urgent says that one of them is.
	placed int
	urgent bool
}

// items are news by their origin.
type items struct {
	origins []origin
	// coarse says that no prompt is told by itself.
	coarse bool
}

// origin is the news of one gateway's report.
type origin struct {
	gateway string
	placed  []peer.PlacedPrompt
	read    []peer.ReadPrompt
}

// add keeps the news of one report.
func (n *news) add(report *peer.ReplicaLoads, urgentReading int) {
	if len(report.Placed)+len(report.Read) == 0 {
		return
	}
	n.origins = append(n.origins, origin{gateway: report.Gateway, placed: report.Placed, read: report.Read})
	n.placed += len(report.Placed)
	for _, placed := range report.Placed {
		n.urgent = n.urgent || placed.ReadingMS >= urgentReading
	}
}

// take returns the news, once. Measured prompts stay unless they are wanted.
func (n *news) take(measured bool) items {
	taken := n.items
	*n = news{}
	if measured {
		return taken
	}
	for i := range taken.origins {
		each := &taken.origins[i]
		if len(each.read) > 0 {
			n.origins = append(n.origins, origin{gateway: each.gateway, read: each.read})
			each.read = nil
		}
	}
	return taken
}

// without is what one gateway is told: the news of all others.
func (s *items) without(gateway string) peer.RegionLoads {
	return s.told(func(each *origin) bool { return each.gateway != gateway }, func(peer.PlacedPrompt) bool { return true })
}

// concerning is what another region is told: long prompts, and those that were given
// to its replicas.
func (s *items) concerning(own func(replica peer.ReplicaKey) bool) peer.RegionLoads {
	wanted := func(placed peer.PlacedPrompt) bool {
		return placed.ReadingMS >= urgentReading || own(placed.Replica)
	}
	return s.told(func(*origin) bool { return true }, wanted)
}

// told collects news: long prompts and those with shared parts one by one, the
// readings of others added up, and the newest measured prompt of each replica.
func (s *items) told(from func(*origin) bool, wanted func(peer.PlacedPrompt) bool) peer.RegionLoads {
	var part peer.RegionLoads
	added := make(map[peer.ReplicaKey]int)
	read := make(map[peer.ReplicaKey]peer.ReadPrompt)
	for i := range s.origins {
		each := &s.origins[i]
		if !from(each) {
			continue
		}
		for _, placed := range each.placed {
			switch {
			case !wanted(placed):
			case !s.coarse && (placed.ReadingMS >= urgentReading || len(placed.Prefixes) > 0):
				part.Placed = append(part.Placed, placed)
			default:
				added[placed.Replica] += placed.ReadingMS
			}
		}
		for _, prompt := range each.read {
			read[prompt.Replica] = prompt
		}
	}
	for _, replica := range slices.Sorted(maps.Keys(added)) {
		part.Added = append(part.Added, peer.AddedReading{Replica: replica, ReadingMS: added[replica]})
	}
	for _, replica := range slices.Sorted(maps.Keys(read)) {
		part.Read = append(part.Read, read[replica])
	}
	return part
}
