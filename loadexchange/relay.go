package loadexchange

import (
	"slices"

	"github.com/deckpulley/deckpulley/peer"
)

// relayQueue collects updates of other aggregators until they are relayed. It never modifies
// a digest that was received, which may also be queued for other gateways.
type relayQueue struct {
	parts []peer.RegionLoads
	// urgent reports whether any of the updates is urgent within the region.
	urgent bool
}

// add queues the parts of a digest. Parts of the same aggregator are merged, and so are
// parts of the same region that have no sums.
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

// hasUrgent reports whether a part contains an urgent prompt, or a total as long as the
// prefill of a critical prompt.
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

// merge merges a newer part into an older one.
func merge(older, newer *peer.RegionLoads) {
	if newer.Complete {
		older.Complete, older.Loads = true, newer.Loads
	}
	older.PrefillTotals = slices.Concat(older.PrefillTotals, newer.PrefillTotals)
	older.PlacedPrompts = slices.Concat(older.PlacedPrompts, newer.PlacedPrompts)
	older.PrefillSamples = slices.Concat(older.PrefillSamples, newer.PrefillSamples)
}

// take removes and returns the queued parts, with the totals of each part added up by
// replica. If totalsOnly is set, prompts are added to the totals instead of being listed.
func (q *relayQueue) take(totalsOnly bool) []peer.RegionLoads {
	parts := q.parts
	*q = relayQueue{}
	for i := range parts {
		part := &parts[i]
		totals := newPrefillTotals()
		for _, total := range part.PrefillTotals {
			totals.add(total.Replica, total.PrefillMS)
		}
		if totalsOnly {
			for j := range part.PlacedPrompts {
				totals.add(part.PlacedPrompts[j].Replica, part.PlacedPrompts[j].PrefillMS)
			}
			part.PlacedPrompts = nil
		}
		part.PrefillTotals = totals.list()
	}
	return parts
}
