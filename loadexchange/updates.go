package loadexchange

import (
	"maps"
	"slices"

	"github.com/deckpulley/deckpulley/peer"
)

// Prefill times from which a prompt is sent sooner, in milliseconds.
const (
	// urgentPrefillMS makes a prompt urgent within the region.
	urgentPrefillMS = 40
	// crossRegionUrgentPrefillMS makes a prompt urgent in all regions.
	crossRegionUrgentPrefillMS = 200
	// criticalPrefillMS makes a prompt critical: it delays other requests by itself and
	// is sent to all regions before all others.
	criticalPrefillMS = 300
)

// isUrgent reports whether a prompt is urgent within the region.
func isUrgent(prompt *peer.PlacedPrompt) bool { return prompt.PrefillMS >= urgentPrefillMS }

// updates are the prompts that members placed and the samples that they measured since
// the last digest.
type updates struct {
	updateBatch
	// placed counts the prompts. urgent says that one of them is urgent where these
	// updates go, and critical that one is critical.
	placed   int
	urgent   bool
	critical bool
}

// updateBatch is a list of updates by their origin.
type updateBatch struct {
	origins []origin
	// coarse says that no prompt is sent by itself, only their totals.
	coarse bool
}

// origin has the updates of one gateway's report.
type origin struct {
	gateway string
	placed  []peer.PlacedPrompt
	samples []peer.PrefillSample
}

// add queues the updates of a report. A prompt is urgent from urgentMS on.
func (u *updates) add(report *peer.ReplicaLoads, urgentMS int) {
	if len(report.PlacedPrompts)+len(report.PrefillSamples) == 0 {
		return
	}
	u.origins = append(u.origins, origin{gateway: report.Gateway, placed: report.PlacedPrompts, samples: report.PrefillSamples})
	u.placed += len(report.PlacedPrompts)
	for i := range report.PlacedPrompts {
		prefillMS := report.PlacedPrompts[i].PrefillMS
		u.urgent = u.urgent || prefillMS >= urgentMS
		u.critical = u.critical || prefillMS >= criticalPrefillMS
	}
}

// take removes the updates and returns them. Samples stay queued unless withSamples is
// set.
func (u *updates) take(withSamples bool) updateBatch {
	batch := u.updateBatch
	*u = updates{}
	if withSamples {
		return batch
	}
	for i := range batch.origins {
		from := &batch.origins[i]
		if len(from.samples) > 0 {
			u.origins = append(u.origins, origin{gateway: from.gateway, samples: from.samples})
			from.samples = nil
		}
	}
	return batch
}

// excluding returns the updates of all gateways but one, for that gateway.
func (b *updateBatch) excluding(gateway string) peer.RegionLoads {
	return b.collect(func(from *origin) bool { return from.gateway != gateway }, intraRegionDetail)
}

// all returns the updates of all gateways, for the other groups of the region.
func (b *updateBatch) all() peer.RegionLoads {
	return b.collect(fromAny, intraRegionDetail)
}

// forRegion returns the updates for another region: prompts that were placed at its
// replicas in the same detail as within the own region, and the totals of other urgent
// ones.
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
	return b.collect(fromAny, detailOf)
}

// fromAny selects the updates of all gateways.
func fromAny(*origin) bool { return true }

// promptDetail is how much of a prompt a digest has.
type promptDetail int

const (
	detailNone   promptDetail = iota
	detailTotal               // its prefill time is part of the replica's total
	detailPrompt              // the prompt itself
)

// intraRegionDetail returns the detail of a prompt within the region: urgent prompts
// and those with shared prefixes are sent one by one.
func intraRegionDetail(prompt *peer.PlacedPrompt) promptDetail {
	if isUrgent(prompt) || len(prompt.Prefixes) > 0 {
		return detailPrompt
	}
	return detailTotal
}

// collect returns the updates of the selected gateways: prompts in the given detail,
// and the newest sample of each replica.
func (b *updateBatch) collect(selected func(*origin) bool, detailOf func(*peer.PlacedPrompt) promptDetail) peer.RegionLoads {
	var part peer.RegionLoads
	totals := newPrefillTotals()
	newest := make(map[peer.ReplicaKey]peer.PrefillSample)
	for i := range b.origins {
		from := &b.origins[i]
		if !selected(from) {
			continue
		}
		for j := range from.placed {
			prompt := &from.placed[j]
			switch detail := detailOf(prompt); {
			case detail == detailNone:
			case detail == detailTotal || b.coarse:
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

// prefillTotals adds up the prefill times of prompts by replica, in milliseconds.
type prefillTotals map[peer.ReplicaKey]int

func newPrefillTotals() prefillTotals { return make(prefillTotals) }

func (t prefillTotals) add(replica peer.ReplicaKey, prefillMS int) { t[replica] += prefillMS }

// list returns the totals in the order of the replicas' keys.
func (t prefillTotals) list() []peer.PrefillTotal {
	var list []peer.PrefillTotal
	for _, replica := range slices.Sorted(maps.Keys(t)) {
		list = append(list, peer.PrefillTotal{Replica: replica, PrefillMS: t[replica]})
	}
	return list
}
