package loadexchange

import (
	"slices"

	"github.com/deckpulley/deckpulley/peer"
)

// relayQueue collects what other aggregators sent until it is relayed. It never changes
// a digest that was received, which may also be in flight to other gateways.
type relayQueue struct {
	parts []peer.RegionLoads
	// urgent says that one of the updates is urgent within the region.
	urgent bool
}

// add queues the parts of a digest. Those of one aggregator are merged, and so are
// those of one region that have no sums.
func (q *relayQueue) add(parts []peer.RegionLoads) {
	for i := range parts {
		part := &parts[i]
		q.urgent = q.urgent || hasUrgent(part)
		at := slices.IndexFunc(q.parts, func(known peer.RegionLoads) bool {
			return known.Aggregator == part.Aggregator || known.Region == part.Region && !known.Complete && !part.Complete
		})
		if at < 0 {
			q.parts = append(q.parts, *part)
			continue
		}
		merge(&q.parts[at], part)
	}
}

// hasUrgent reports whether a part has a prompt that is urgent, or a total that is as
// long as a critical prompt.
func hasUrgent(part *peer.RegionLoads) bool {
	for i := range part.PlacedPrompts {
		if isUrgent(&part.PlacedPrompts[i]) {
			return true
		}
	}
	return slices.ContainsFunc(part.PrefillTotals, func(total peer.PrefillTotal) bool {
		return total.PrefillMS >= criticalPrefillMS
	})
}

// merge adds a newer part to an older one.
func merge(older, newer *peer.RegionLoads) {
	if newer.Complete {
		older.Complete, older.Loads = true, newer.Loads
	}
	older.PrefillTotals = slices.Concat(older.PrefillTotals, newer.PrefillTotals)
	older.PlacedPrompts = slices.Concat(older.PlacedPrompts, newer.PlacedPrompts)
	older.PrefillSamples = slices.Concat(older.PrefillSamples, newer.PrefillSamples)
}

// take removes the queued parts and returns them with one total for each replica. If
// coarse is set, prompts become part of the totals.
func (q *relayQueue) take(coarse bool) []peer.RegionLoads {
	parts := q.parts
	*q = relayQueue{}
	for i := range parts {
		part := &parts[i]
		totals := newPrefillTotals()
		for _, total := range part.PrefillTotals {
			totals.add(total.Replica, total.PrefillMS)
		}
		if coarse {
			for j := range part.PlacedPrompts {
				totals.add(part.PlacedPrompts[j].Replica, part.PlacedPrompts[j].PrefillMS)
			}
			part.PlacedPrompts = nil
		}
		part.PrefillTotals = totals.list()
	}
	return parts
}
