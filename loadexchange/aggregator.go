package loadexchange

import (
	"maps"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

// aggregator is the side that sums reports up. Every gateway has it ready; it acts
// while somebody reports to it.
type aggregator struct {
	members map[string]memberReport
	// near and far are what the members and the other regions have yet to hear.
	near, far news
	// relayed are other regions' loads that the members have yet to hear.
	relayed []peer.RegionLoads
	// Times of the last digest to the members, of the last with news, of the last
	// with sums, and of the last to other regions.
	sentNear, sentNews, sentSums, sentFar time.Time
	// paidAt is when the link has carried what was sent, at its share.
	paidAt time.Time
}

// memberReport is the newest load that a gateway reported.
type memberReport struct {
	at    time.Time
	loads map[peer.ReplicaKey]peer.Load
}

// take takes one report in.
func (a *aggregator) take(now time.Time, report *peer.ReplicaLoads) {
	a.members[report.Gateway] = memberReport{at: now, loads: report.Loads}
	a.near.add(report, urgentReading)
	a.far.add(report, longReading)
}

// relay keeps another region's loads for the members.
func (a *aggregator) relay(digest *peer.LoadDigest) {
	if len(a.members) == 0 {
		return
	}
	for i := range digest.Regions {
		part := digest.Regions[i]
		a.relayed = slices.DeleteFunc(a.relayed, func(older peer.RegionLoads) bool {
			return part.Whole && older.Aggregator == part.Aggregator && len(older.Placed)+len(older.Added) == 0
		})
		a.relayed = append(a.relayed, part)
	}
}

// pause is the least time between two digests to the members.
func (a *aggregator) pause() time.Duration {
	pause := digestTime * time.Duration(len(a.members))
	if a.near.urgent {
		return pause / 2
	}
	return 2 * pause
}

// due is when the next digest of any kind is to be sent, if this gateway acts.
func (a *aggregator) due() (due time.Time, acting bool) {
	if len(a.members) == 0 {
		return time.Time{}, false
	}
	due = a.dueNear()
	if far := a.dueFar(); far.Before(due) {
		due = far
	}
	return due, true
}

func (a *aggregator) dueNear() time.Time {
	due := a.sentNear.Add(heartbeat)
	if a.near.placed == 0 {
		return due
	}
	soon := a.sentNear.Add(a.pause())
	if soon.Before(a.paidAt) {
		soon = a.paidAt
	}
	if soon.Before(due) {
		return soon
	}
	return due
}

// pay notes bytes that were sent, and when the link's share has carried them.
func (a *aggregator) pay(now time.Time, bytes, linkMbps int) {
	if linkMbps <= 0 {
		linkMbps = defaultLinkMbps
	}
	perSecond := linkShare * float64(linkMbps) * 1e6 / 8
	if a.paidAt.Before(now) {
		a.paidAt = now
	}
	a.paidAt = a.paidAt.Add(time.Duration(float64(bytes) / perSecond * float64(time.Second)))
}

func (a *aggregator) dueFar() time.Time {
	if a.far.urgent {
		return a.sentFar.Add(farPause)
	}
	return a.sentFar.Add(farInterval)
}

// aggregate sends the digests that are due.
func (x *Exchange) aggregate(now time.Time, effects *Effects) {
	a := &x.sum
	a.prune(now)
	if len(a.members) == 0 {
		*a = aggregator{members: a.members}
		return
	}
	if !now.Before(a.dueNear()) {
		x.sendNear(now, effects)
	}
	if !now.Before(a.dueFar()) {
		x.sendFar(now, effects)
	}
}

// prune forgets the gateways that no longer report here.
func (a *aggregator) prune(now time.Time) {
	for name, member := range a.members {
		if now.Sub(member.at) > memberAge {
			delete(a.members, name)
		}
	}
}

// sendNear sends each member a digest of what the others told, with sums and
// measured prompts when these are due. While the link has yet to carry what was sent,
// the digests only tell that the aggregator lives; news that waited long for that are
// told as sums of readings.
func (x *Exchange) sendNear(now time.Time, effects *Effects) {
	a := &x.sum
	a.sentNear = now
	if now.Before(a.paidAt) {
		for name := range a.members {
			x.sendMember(now, name, &peer.LoadDigest{Aggregator: x.name}, effects)
		}
		return
	}
	coarse := !a.sentNews.IsZero() && now.Sub(a.sentNews) > 2*heartbeat
	a.sentNews = now
	whole := !now.Before(a.sentSums.Add(sumsInterval))
	var sums map[peer.ReplicaKey]peer.Load
	if whole {
		a.sentSums = now
		sums = a.sums()
	}
	items := a.near.take(whole)
	items.coarse = coarse
	bytes := 0
	for _, name := range slices.Sorted(maps.Keys(a.members)) {
		part := items.without(name)
		part.Region, part.Aggregator = x.region, x.name
		if whole {
			part.Whole, part.Loads = true, a.othersOf(name, sums)
		}
		digest := &peer.LoadDigest{Aggregator: x.name, Regions: append([]peer.RegionLoads{part}, a.relayed...)}
		x.sendMember(now, name, digest, effects)
		bytes += sizeOf(digest)
	}
	a.relayed = nil
	a.pay(now, bytes, x.gateways[x.name].LinkMbps)
}

// Bytes of a message and of its parts, about: what they take when encoded.
const (
	digestBytes = 120 // with what the network adds
	loadBytes   = 14
	addedBytes  = 9
	placedBytes = 15
	prefixBytes = 9
	readBytes   = 14
)

// sizeOf is about the size of a digest in bytes.
func sizeOf(digest *peer.LoadDigest) int {
	size := digestBytes
	for i := range digest.Regions {
		part := &digest.Regions[i]
		size += loadBytes*len(part.Loads) + addedBytes*len(part.Added) + readBytes*len(part.Read)
		for j := range part.Placed {
			size += placedBytes + prefixBytes*len(part.Placed[j].Prefixes)
		}
	}
	return size
}

// sendMember sends a digest to a member, which may be the own gateway.
func (x *Exchange) sendMember(now time.Time, name string, digest *peer.LoadDigest, effects *Effects) {
	if name == x.name {
		if x.own.aggregator == x.name {
			x.own.heard(now)
			observe(digest, effects)
		}
		return
	}
	if member, up := x.gateways[name]; up {
		effects.Send = append(effects.Send, Outgoing{Address: member.Address, Digest: digest})
	}
}

// sums adds the members' loads up.
func (a *aggregator) sums() map[peer.ReplicaKey]peer.Load {
	sums := make(map[peer.ReplicaKey]peer.Load)
	for _, member := range a.members {
		for replica, load := range member.loads {
			sums[replica] = sums[replica].Add(load)
		}
	}
	return sums
}

// othersOf takes a member's own load off the sums.
func (a *aggregator) othersOf(name string, sums map[peer.ReplicaKey]peer.Load) map[peer.ReplicaKey]peer.Load {
	own := a.members[name].loads
	others := make(map[peer.ReplicaKey]peer.Load, len(sums))
	for replica, sum := range sums {
		sum.Requests -= own[replica].Requests
		sum.Held -= own[replica].Held
		if sum.Requests > 0 || sum.Held > 0 || sum.OverdueMS > 0 {
			others[replica] = sum
		}
	}
	return others
}

// sendFar sends a digest to the aggregator of each other region.
func (x *Exchange) sendFar(now time.Time, effects *Effects) {
	a := &x.sum
	a.sentFar = now
	items := a.far.take(true)
	sums := a.sums()
	for _, region := range slices.Sorted(maps.Keys(x.far)) {
		to := x.gateways[x.owner(region, x.far[region], nobody)]
		part := items.concerning(func(replica peer.ReplicaKey) bool { return x.loads.RegionOf(replica) == region })
		part.Region, part.Aggregator = x.region, x.name
		part.Whole, part.Loads = true, sums
		digest := &peer.LoadDigest{Aggregator: x.name, Regions: []peer.RegionLoads{part}}
		effects.Send = append(effects.Send, Outgoing{Address: to.Address, Digest: digest})
	}
}
