package loadexchange

import (
	"maps"
	"slices"

	"github.com/deckpulley/deckpulley/peer"
)

// news is what gateways placed and measured and others have yet to hear.
type news struct {
	items
	// placed counts the prompts, urgent says that one of them is to be told soon, and
	// pressing that one of them makes others late by itself.
	placed   int
	urgent   bool
	pressing bool
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
	read    []peer.PrefillSample
}

// add keeps the news of one report.
func (n *news) add(report *peer.ReplicaLoads, urgentReading int) {
	if len(report.PlacedPrompts)+len(report.PrefillSamples) == 0 {
		return
	}
	n.origins = append(n.origins, origin{gateway: report.Gateway, placed: report.PlacedPrompts, read: report.PrefillSamples})
	n.placed += len(report.PlacedPrompts)
	for _, placed := range report.PlacedPrompts {
		n.urgent = n.urgent || placed.PrefillMS >= urgentReading
		n.pressing = n.pressing || placed.PrefillMS >= pressingReading
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
	return s.told(func(each *origin) bool { return each.gateway != gateway }, bySelf)
}

// whole is what other groups are told: all news.
func (s *items) whole() peer.RegionLoads {
	return s.told(func(*origin) bool { return true }, bySelf)
}

// concerning is what another region is told: prompts that were given to its replicas
// as the own region is told of them, and the readings of other long ones.
func (s *items) concerning(own func(replica peer.ReplicaKey) bool) peer.RegionLoads {
	as := func(placed *peer.PlacedPrompt) telling {
		switch {
		case own(placed.Replica):
			return bySelf(placed)
		case isUrgent(placed):
			return asSum
		default:
			return notAtAll
		}
	}
	return s.told(func(*origin) bool { return true }, as)
}

// telling is how a prompt is told.
type telling int

const (
	notAtAll telling = iota
	asSum            // its reading is added to others
	byItself
)

// bySelf tells long prompts and those with shared parts by themselves.
func bySelf(placed *peer.PlacedPrompt) telling {
	if isUrgent(placed) || len(placed.Prefixes) > 0 {
		return byItself
	}
	return asSum
}

// told collects news: prompts by themselves, the readings of others added up, and the
// newest measured prompt of each replica.
func (s *items) told(from func(*origin) bool, as func(*peer.PlacedPrompt) telling) peer.RegionLoads {
	var part peer.RegionLoads
	added := newReadings()
	read := make(map[peer.ReplicaKey]peer.PrefillSample)
	for i := range s.origins {
		each := &s.origins[i]
		if !from(each) {
			continue
		}
		for j := range each.placed {
			placed := &each.placed[j]
			switch how := as(placed); {
			case how == notAtAll:
			case how == asSum || s.coarse:
				added.add(placed.Replica, placed.PrefillMS)
			default:
				part.PlacedPrompts = append(part.PlacedPrompts, *placed)
			}
		}
		for _, prompt := range each.read {
			read[prompt.Replica] = prompt
		}
	}
	part.PrefillTotals = added.list()
	for _, replica := range slices.Sorted(maps.Keys(read)) {
		part.PrefillSamples = append(part.PrefillSamples, read[replica])
	}
	return part
}

// readings adds up the readings of prompts by replica.
type readings map[peer.ReplicaKey]int

func newReadings() readings { return make(readings) }

func (r readings) add(replica peer.ReplicaKey, readingMS int) { r[replica] += readingMS }

// list returns the sums in the order of the replicas.
func (r readings) list() []peer.PrefillTotal {
	var list []peer.PrefillTotal
	for _, replica := range slices.Sorted(maps.Keys(r)) {
		list = append(list, peer.PrefillTotal{Replica: replica, PrefillMS: r[replica]})
	}
	return list
}
