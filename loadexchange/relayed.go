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
		for j := range part.PlacedPrompts {
			r.urgent = r.urgent || isUrgent(&part.PlacedPrompts[j])
		}
		for _, added := range part.PrefillTotals {
			r.urgent = r.urgent || added.PrefillMS >= pressingReading
		}
		at := slices.IndexFunc(r.parts, func(known peer.RegionLoads) bool {
			return known.Aggregator == part.Aggregator || known.Region == part.Region && !known.Complete && !part.Complete
		})
		if at < 0 {
			r.parts = append(r.parts, *part)
			continue
		}
		join(&r.parts[at], part)
	}
}

// isUrgent says whether the gateways of a region are told of a prompt soon.
func isUrgent(placed *peer.PlacedPrompt) bool { return placed.PrefillMS >= urgentReading }

// join adds a newer part of the same aggregator to an older one.
func join(older, newer *peer.RegionLoads) {
	if newer.Complete {
		older.Complete, older.Loads = true, newer.Loads
	}
	older.PrefillTotals = slices.Concat(older.PrefillTotals, newer.PrefillTotals)
	older.PlacedPrompts = slices.Concat(older.PlacedPrompts, newer.PlacedPrompts)
	older.PrefillSamples = slices.Concat(older.PrefillSamples, newer.PrefillSamples)
}

// take returns what was collected, once. If it is to be coarse, no prompt is told by
// itself.
func (r *relayed) take(coarse bool) []peer.RegionLoads {
	parts := r.parts
	*r = relayed{}
	for i := range parts {
		added := newReadings()
		for _, reading := range parts[i].PrefillTotals {
			added.add(reading.Replica, reading.PrefillMS)
		}
		if coarse {
			for _, placed := range parts[i].PlacedPrompts {
				added.add(placed.Replica, placed.PrefillMS)
			}
			parts[i].PlacedPrompts = nil
		}
		parts[i].PrefillTotals = added.list()
	}
	return parts
}

// isEmpty says whether a part tells nothing.
func isEmpty(part *peer.RegionLoads) bool {
	return !part.Complete && len(part.PrefillTotals)+len(part.PlacedPrompts)+len(part.PrefillSamples) == 0
}
