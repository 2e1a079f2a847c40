package loadexchange

import (
	"maps"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

// sendIntraRegion sends each member a digest with the updates of the other members, and
// each other group one with the updates of all members, including samples and sums when
// these are due. While the link is still busy with earlier digests, it sends only
// heartbeats to the members.
func (e *Exchange) sendIntraRegion(now time.Time, effects *Effects) {
	a := &e.aggregator
	a.lastDigest = now
	if now.Before(a.linkFreeAt) {
		e.sendHeartbeats(now, effects)
		return
	}
	first := a.lastUpdates.IsZero()
	elapsed := min(now.Sub(a.lastUpdates), sumsInterval)
	a.lastUpdates = now
	complete := !now.Before(a.lastPeerSums.Add(sumsInterval))
	if complete {
		a.lastPeerSums = now
	}
	batch := a.intraRegion.take(complete)
	batch.totalsOnly = elapsed >= totalsOnlyDelay && !first
	bytes := e.sendToPeerGroups(now, complete, &batch, effects)
	bytes += e.sendToMembers(now, elapsed, &batch, effects)
	a.reserveLink(now, bytes)
}

// sendHeartbeats sends empty digests to the members, which show that this gateway is alive.
func (e *Exchange) sendHeartbeats(now time.Time, effects *Effects) {
	a := &e.aggregator
	for name := range a.members {
		e.sendToMember(now, name, &peer.LoadDigest{Aggregator: e.name}, effects)
	}
	a.reserveLink(now, len(a.members)*digestBytes)
}

// sendToMembers sends each member the updates of the other members, groups and regions, and
// sends the sums to the members that are due to get them. It returns the approximate number
// of bytes sent.
func (e *Exchange) sendToMembers(now time.Time, elapsed time.Duration, batch *updateBatch, effects *Effects) (bytes int) {
	a := &e.aggregator
	relayed := a.memberRelay.take(batch.totalsOnly)
	names := slices.Sorted(maps.Keys(a.members))
	due := a.sumsDue(names, elapsed)
	var sums map[peer.ReplicaKey]peer.Load
	if len(due) > 0 {
		sums = sumLoads(a.members, a.relayedSums)
	}
	for _, name := range names {
		part := batch.excluding(name)
		part.Region, part.Aggregator = e.region, e.name
		if due[name] {
			part.Complete, part.Loads = true, a.loadOfOthers(name, sums)
		}
		digest := &peer.LoadDigest{Aggregator: e.name, Regions: append([]peer.RegionLoads{part}, relayed...)}
		e.sendToMember(now, name, digest, effects)
		bytes += digestSize(digest)
	}
	return bytes
}

// sendToMember sends a digest to a member. If this is the own gateway, it processes the
// digest directly.
func (e *Exchange) sendToMember(now time.Time, name string, digest *peer.LoadDigest, effects *Effects) {
	if name == e.name {
		if e.reporter.aggregator == e.name {
			e.reporter.recordContact(now)
			addObserved(digest, effects)
		}
		return
	}
	if member, up := e.gateways[name]; up {
		effects.Outgoing = append(effects.Outgoing, Outgoing{Address: member.Address, Digest: digest})
	}
}

// sendToPeerGroups sends the updates of the members and of other regions to the aggregators
// of the other groups. It returns the approximate number of bytes sent.
func (e *Exchange) sendToPeerGroups(now time.Time, complete bool, batch *updateBatch, effects *Effects) (bytes int) {
	a := &e.aggregator
	forwarded := a.peerGroupRelay.take(batch.totalsOnly)
	aggregators := e.peerAggregators(now)
	if len(aggregators) == 0 {
		return 0
	}
	part := batch.all()
	part.Region, part.Aggregator = e.region, e.name
	if complete {
		part.Complete, part.Loads = true, sumLoads(a.members)
	}
	if isEmpty(&part) && len(forwarded) == 0 {
		return 0
	}
	digest := &peer.LoadDigest{Aggregator: e.name, Regions: append([]peer.RegionLoads{part}, forwarded...)}
	for _, name := range aggregators {
		effects.Outgoing = append(effects.Outgoing, Outgoing{Address: e.gateways[name].Address, Digest: digest})
	}
	return len(aggregators) * digestSize(digest)
}

// sendCrossRegion sends a digest to one aggregator of each other region, including sums
// when these are due.
func (e *Exchange) sendCrossRegion(now time.Time, effects *Effects) {
	a := &e.aggregator
	a.lastCrossRegion = now
	complete := !now.Before(a.lastCrossRegionSums.Add(crossRegionSumsInterval))
	batch := a.crossRegion.take(complete)
	var sums map[peer.ReplicaKey]peer.Load
	if complete {
		a.lastCrossRegionSums = now
		sums = sumLoads(a.members)
	}
	bytes := 0
	for _, region := range slices.Sorted(maps.Keys(e.groups)) {
		name := e.remoteAggregator(region)
		if region == e.region || name == "" {
			continue
		}
		part := batch.forRegion(func(replica peer.ReplicaKey) bool { return e.loads.RegionOf(replica) == region })
		part.Region, part.Aggregator = e.region, e.name
		part.Complete, part.Loads = complete, sums
		digest := &peer.LoadDigest{Aggregator: e.name, Regions: []peer.RegionLoads{part}}
		effects.Outgoing = append(effects.Outgoing, Outgoing{Address: e.gateways[name].Address, Digest: digest})
		bytes += digestSize(digest)
	}
	a.reserveLink(now, bytes)
}

// isEmpty reports whether a part of a digest has neither sums nor updates.
func isEmpty(part *peer.RegionLoads) bool {
	return !part.Complete && len(part.PrefillTotals)+len(part.PlacedPrompts)+len(part.PrefillSamples) == 0
}

// Approximate sizes of an encoded digest and of its parts, in bytes.
const (
	digestBytes = 120 // an empty digest, including network headers
	loadBytes   = 14
	totalBytes  = 9
	promptBytes = 15
	prefixBytes = 9
	sampleBytes = 14
)

// digestSize returns the approximate size of an encoded digest in bytes.
func digestSize(digest *peer.LoadDigest) int {
	size := digestBytes
	for i := range digest.Regions {
		part := &digest.Regions[i]
		size += loadBytes * len(part.Loads)
		size += totalBytes * len(part.PrefillTotals)
		size += sampleBytes * len(part.PrefillSamples)
		for j := range part.PlacedPrompts {
			size += promptBytes + prefixBytes*len(part.PlacedPrompts[j].Prefixes)
		}
	}
	return size
}
