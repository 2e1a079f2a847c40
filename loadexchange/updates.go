package loadexchange

import (
	"maps"
	"slices"

	"github.com/deckpulley/deckpulley/peer"
)

// Prefill times, in milliseconds, from which on an update about a prompt is sent sooner.
const (
	// urgentPrefillMS makes a prompt urgent within the region.
	urgentPrefillMS = 40
	// crossRegionUrgentPrefillMS makes a prompt urgent in all regions.
	crossRegionUrgentPrefillMS = 200
	// criticalPrefillMS makes a prompt critical: it noticeably delays other requests at its
	// replica by itself, so that the update is sent to other regions soonest.
	criticalPrefillMS = 300
)

// isUrgent reports whether a prompt is urgent within the region.
func isUrgent(prompt *peer.PlacedPrompt) bool { return prompt.PrefillMS >= urgentPrefillMS }

// updates holds the prompts that members placed and the samples that they measured since
// the last digest.
type updates struct {
	updateBatch
	// placed is the number of prompts. urgent reports whether any of them is urgent for the
	// receivers of these updates, and critical whether any is critical.
	placed   int
	urgent   bool
	critical bool
}

// updateBatch is a list of updates by the gateway that reported them.
type updateBatch struct {
	byGateway []gatewayUpdates
	// totalsOnly is set if prompts are sent only as totals and not one by one.
	totalsOnly bool
}

// gatewayUpdates holds the updates of one report of a gateway.
type gatewayUpdates struct {
	gateway string
	placed  []peer.PlacedPrompt
	samples []peer.PrefillSample
}

// add queues the updates of a report. A prompt is urgent if its prefill takes at least
// urgentMS.
func (u *updates) add(report *peer.ReplicaLoads, urgentMS int) {
	if len(report.PlacedPrompts)+len(report.PrefillSamples) == 0 {
		return
	}
	u.byGateway = append(u.byGateway, gatewayUpdates{gateway: report.Gateway, placed: report.PlacedPrompts, samples: report.PrefillSamples})
	u.placed += len(report.PlacedPrompts)
	for i := range report.PlacedPrompts {
		prefillMS := report.PlacedPrompts[i].PrefillMS
		u.urgent = u.urgent || prefillMS >= urgentMS
		u.critical = u.critical || prefillMS >= criticalPrefillMS
	}
}

// take removes and returns the updates. Samples stay queued unless withSamples is set.
func (u *updates) take(withSamples bool) updateBatch {
	batch := u.updateBatch
	*u = updates{}
	if withSamples {
		return batch
	}
	for i := range batch.byGateway {
		from := &batch.byGateway[i]
		if len(from.samples) > 0 {
			u.byGateway = append(u.byGateway, gatewayUpdates{gateway: from.gateway, samples: from.samples})
			from.samples = nil
		}
	}
	return batch
}

// excluding returns the updates to be sent to a gateway: those of all other gateways.
func (b *updateBatch) excluding(gateway string) peer.RegionLoads {
	return b.collect(func(from *gatewayUpdates) bool { return from.gateway != gateway }, intraRegionDetail)
}

// all returns the updates to be sent to the other groups of the region: those of all
// gateways.
func (b *updateBatch) all() peer.RegionLoads {
	return b.collect(anyGateway, intraRegionDetail)
}

// forRegion returns the updates to be sent to another region. Prompts placed at its replicas
// have the same detail as within the own region. Of other prompts, it contains only the
// totals of urgent ones.
func (b *updateBatch) forRegion(inRegion func(replica peer.ReplicaKey) bool) peer.RegionLoads {
	detailOf := func(prompt *peer.PlacedPrompt) promptDetail {
		switch {
		case inRegion(prompt.Replica):
			return intraRegionDetail(prompt)
		case isUrgent(prompt):
			return detailTotal
		default:
			return detailNone
		}
	}
	return b.collect(anyGateway, detailOf)
}

// anyGateway selects the updates of all gateways.
func anyGateway(*gatewayUpdates) bool { return true }

// promptDetail is the detail with which a digest contains a prompt.
type promptDetail int

const (
	detailNone   promptDetail = iota // the prompt is left out
	detailTotal                      // its prefill time is part of the replica's total
	detailPrompt                     // the prompt itself
)

// intraRegionDetail returns the detail of a prompt within the region: urgent prompts
// and those with shared prefixes are sent one by one.
func intraRegionDetail(prompt *peer.PlacedPrompt) promptDetail {
	if isUrgent(prompt) || len(prompt.Prefixes) > 0 {
		return detailPrompt
	}
	return detailTotal
}

// collect returns the updates of the selected gateways: prompts with the detail that
// detailOf returns, and the newest sample of each replica.
func (b *updateBatch) collect(selected func(*gatewayUpdates) bool, detailOf func(*peer.PlacedPrompt) promptDetail) peer.RegionLoads {
	var part peer.RegionLoads
	totals := newPrefillTotals()
	newest := make(map[peer.ReplicaKey]peer.PrefillSample)
	for i := range b.byGateway {
		from := &b.byGateway[i]
		if !selected(from) {
			continue
		}
		for j := range from.placed {
			prompt := &from.placed[j]
			switch detail := detailOf(prompt); {
			case detail == detailNone:
			case detail == detailTotal || b.totalsOnly:
				totals.add(prompt.Replica, prompt.PrefillMS)
			default:
				part.PlacedPrompts = append(part.PlacedPrompts, *prompt)
			}
		}
		for _, sample := range from.samples {
			newest[sample.Replica] = sample
		}
	}
	part.PrefillTotals = totals.list()
	for _, replica := range slices.Sorted(maps.Keys(newest)) {
		part.PrefillSamples = append(part.PrefillSamples, newest[replica])
	}
	return part
}

// prefillTotals holds the sums of prompts' prefill times by replica, in milliseconds.
type prefillTotals map[peer.ReplicaKey]int

func newPrefillTotals() prefillTotals { return make(prefillTotals) }

func (t prefillTotals) add(replica peer.ReplicaKey, prefillMS int) { t[replica] += prefillMS }

// list returns the totals sorted by replica key.
func (t prefillTotals) list() []peer.PrefillTotal {
	var list []peer.PrefillTotal
	for _, replica := range slices.Sorted(maps.Keys(t)) {
		list = append(list, peer.PrefillTotal{Replica: replica, PrefillMS: t[replica]})
	}
	return list
}
