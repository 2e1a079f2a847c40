package loadexchange

import (
	"slices"

	"github.com/deckpulley/deckpulley/peer"
)

// relayed collects what other aggregators told until it is passed on. No digest that
// came in is changed: it may be on its way to others too.
type relayed struct {
	parts []peer.RegionLoads
	// urgent says that one of the prompts is to be told soon.
	urgent bool
}

// add takes the parts of a digest in. Those of one aggregator become one, and so do
// those of one region that have no sums.
func (r *relayed) add(parts []peer.RegionLoads) {
	for i := range parts {
		part := &parts[i]
		for j := range part.Placed {
			r.urgent = r.urgent || isUrgent(&part.Placed[j])
		}
		for _, added := range part.Added {
			r.urgent = r.urgent || added.ReadingMS >= pressingReading
		}
		at := slices.IndexFunc(r.parts, func(known peer.RegionLoads) bool {
			return known.Aggregator == part.Aggregator || known.Region == part.Region && !known.Whole && !part.Whole
		})
		if at < 0 {
			r.parts = append(r.parts, *part)
			continue
		}
		join(&r.parts[at], part)
	}
}

// isUrgent says whether the gateways of a region are told of a prompt soon.
func isUrgent(placed *peer.PlacedPrompt) bool { return placed.ReadingMS >= urgentReading }

// join adds a newer part of the same aggregator to an older one.
func join(older, newer *peer.RegionLoads) {
	if newer.Whole {
		older.Whole, older.Loads = true, newer.Loads
	}
	older.Added = slices.Concat(older.Added, newer.Added)
	older.Placed = slices.Concat(older.Placed, newer.Placed)
	older.Read = slices.Concat(older.Read, newer.Read)
}

// take returns what was collected, once. If it is to be coarse, no prompt is told by
// itself.
func (r *relayed) take(coarse bool) []peer.RegionLoads {
	parts := r.parts
	*r = relayed{}
	for i := range parts {
		added := newReadings()
		for _, reading := range parts[i].Added {
			added.add(reading.Replica, reading.ReadingMS)
		}
		if coarse {
			for _, placed := range parts[i].Placed {
				added.add(placed.Replica, placed.ReadingMS)
			}
			parts[i].Placed = nil
		}
		parts[i].Added = added.list()
	}
	return parts
}

// isEmpty says whether a part tells nothing.
func isEmpty(part *peer.RegionLoads) bool {
	return !part.Whole && len(part.Added)+len(part.Placed)+len(part.Read) == 0
}
