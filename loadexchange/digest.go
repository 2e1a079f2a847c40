package loadexchange

import (
	"maps"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

// sendIntraRegion sends each member a digest of the other members' updates, and the
// other groups one of all of the members' updates, with samples and sums when these are
// due. While the link is still busy with earlier digests, these are only heartbeats.
func (x *Exchange) sendIntraRegion(now time.Time, effects *Effects) {
	a := &x.aggregator
	a.lastDigest = now
	if now.Before(a.linkFreeAt) {
		x.sendHeartbeats(now, effects)
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
	batch.coarse = elapsed >= coarseDelay && !first
	bytes := x.sendToPeerGroups(now, complete, &batch, effects)
	bytes += x.sendToMembers(now, elapsed, &batch, effects)
	a.chargeLink(now, bytes)
}

// sendHeartbeats sends the members empty digests.
func (x *Exchange) sendHeartbeats(now time.Time, effects *Effects) {
	a := &x.aggregator
	for name := range a.members {
		x.sendToMember(now, name, &peer.LoadDigest{Aggregator: x.name}, effects)
	}
	a.chargeLink(now, len(a.members)*digestBytes)
}

// sendToMembers sends each member the updates of the others and those of other groups
// and regions, and the sums to those whose turn it is. It returns the bytes that this
// takes.
func (x *Exchange) sendToMembers(now time.Time, elapsed time.Duration, batch *updateBatch, effects *Effects) (bytes int) {
	a := &x.aggregator
	relayed := a.relayed.take(batch.coarse)
	names := slices.Sorted(maps.Keys(a.members))
	due := a.sumsDue(names, elapsed)
	var sums map[peer.ReplicaKey]peer.Load
	if len(due) > 0 {
		sums = sumLoads(a.members, a.relayedSums)
	}
	for _, name := range names {
		part := batch.excluding(name)
		part.Region, part.Aggregator = x.region, x.name
		if due[name] {
			part.Complete, part.Loads = true, a.loadOfOthers(name, sums)
		}
		digest := &peer.LoadDigest{Aggregator: x.name, Regions: append([]peer.RegionLoads{part}, relayed...)}
		x.sendToMember(now, name, digest, effects)
		bytes += digestSize(digest)
	}
	return bytes
}

// sendToMember sends a digest to a member, which may be the own gateway.
func (x *Exchange) sendToMember(now time.Time, name string, digest *peer.LoadDigest, effects *Effects) {
	if name == x.name {
		if x.reporter.aggregator == x.name {
			x.reporter.contacted(now)
			observe(digest, effects)
		}
		return
	}
	if member, up := x.gateways[name]; up {
		effects.Outgoing = append(effects.Outgoing, Outgoing{Address: member.Address, Digest: digest})
	}
}

// sendToPeerGroups sends the aggregators of the other groups the updates of the members
// and of other regions. It returns the bytes that this takes.
func (x *Exchange) sendToPeerGroups(now time.Time, complete bool, batch *updateBatch, effects *Effects) (bytes int) {
	a := &x.aggregator
	forwarded := a.forwarded.take(batch.coarse)
	aggregators := x.peerAggregators(now)
	if len(aggregators) == 0 {
		return 0
	}
	part := batch.all()
	part.Region, part.Aggregator = x.region, x.name
	if complete {
		part.Complete, part.Loads = true, sumLoads(a.members)
	}
	if isEmpty(&part) && len(forwarded) == 0 {
		return 0
	}
	digest := &peer.LoadDigest{Aggregator: x.name, Regions: append([]peer.RegionLoads{part}, forwarded...)}
	for _, name := range aggregators {
		effects.Outgoing = append(effects.Outgoing, Outgoing{Address: x.gateways[name].Address, Digest: digest})
	}
	return len(aggregators) * digestSize(digest)
}

// sendCrossRegion sends a digest to one aggregator of each other region, with sums when
// these are due.
func (x *Exchange) sendCrossRegion(now time.Time, effects *Effects) {
	a := &x.aggregator
	a.lastCrossRegion = now
	complete := !now.Before(a.lastCrossRegionSums.Add(crossRegionSumsInterval))
	batch := a.crossRegion.take(complete)
	var sums map[peer.ReplicaKey]peer.Load
	if complete {
		a.lastCrossRegionSums = now
		sums = sumLoads(a.members)
	}
	bytes := 0
	for _, region := range slices.Sorted(maps.Keys(x.groups)) {
		name := x.remoteAggregator(region)
		if region == x.region || name == "" {
			continue
		}
		part := batch.forRegion(func(replica peer.ReplicaKey) bool { return x.loads.RegionOf(replica) == region })
		part.Region, part.Aggregator = x.region, x.name
		part.Complete, part.Loads = complete, sums
		digest := &peer.LoadDigest{Aggregator: x.name, Regions: []peer.RegionLoads{part}}
		effects.Outgoing = append(effects.Outgoing, Outgoing{Address: x.gateways[name].Address, Digest: digest})
		bytes += digestSize(digest)
	}
	a.chargeLink(now, bytes)
}

// isEmpty reports whether a part of a digest has neither sums nor updates.
func isEmpty(part *peer.RegionLoads) bool {
	return !part.Complete && len(part.PrefillTotals)+len(part.PlacedPrompts)+len(part.PrefillSamples) == 0
}

// Approximate sizes of an encoded digest and of its parts, in bytes.
const (
	digestBytes = 120 // an empty digest with what the network adds
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
