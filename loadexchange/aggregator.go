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
	// others are the newest sums of other groups and regions, by their aggregators.
	others map[string]memberReport
	// near and far are what the region's gateways and other regions have yet to hear
	// of the members.
	near, far news
	// relayed is what the members have yet to hear of other groups and regions, and
	// forwarded what the other groups have yet to hear of other regions.
	relayed, forwarded relayed
	// peers are the other groups of the region, by number.
	peers map[int]peerGroup
	// Times of the last digest to the members, of the last with news, of the last
	// with sums, of the last to other regions and of the last there with sums.
	sentNear, sentNews, sentSums, sentFar, sentFarSums time.Time
	// sumsTurn is the member that is told the sums next, and sumsCredit the part of a
	// turn that has passed since the last one.
	sumsTurn   int
	sumsCredit float64
	// linkMbps is what the own link carries, in Mbit/s; 0 is not told.
	linkMbps int
	// paidAt is when the link has carried what was sent, at its share.
	paidAt time.Time
}

// memberReport is the newest load that a gateway reported, or an aggregator told.
type memberReport struct {
	at    time.Time
	loads map[peer.ReplicaKey]peer.Load
}

func newAggregator() aggregator {
	return aggregator{members: make(map[string]memberReport), others: make(map[string]memberReport), peers: make(map[int]peerGroup)}
}

// take takes one report in.
func (a *aggregator) take(now time.Time, report *peer.ReplicaLoads) {
	a.members[report.Gateway] = memberReport{at: now, loads: report.Loads}
	a.near.add(report, urgentReading)
	a.far.add(report, longReading)
}

// relayFar keeps what another region tells for the members and the other groups.
func (a *aggregator) relayFar(now time.Time, digest *peer.LoadDigest) {
	if len(a.members) > 0 {
		a.forwarded.add(digest.Regions)
	}
	a.relayPeer(now, digest)
}

// relayPeer keeps what another group of the region tells for the members.
func (a *aggregator) relayPeer(now time.Time, digest *peer.LoadDigest) {
	if len(a.members) == 0 {
		return
	}
	news := slices.Clone(digest.Regions)
	for i := range news {
		if news[i].Complete {
			a.others[news[i].Aggregator] = memberReport{at: now, loads: news[i].Loads}
			news[i].Complete, news[i].Loads = false, nil
		}
	}
	a.relayed.add(news)
}

// pause is the least time between two digests to the members and the other groups.
// With urgent news half of the aggregator's time, and of its link's share, may go
// into sending digests as such, without what they tell.
func (a *aggregator) pause() time.Duration {
	receivers := len(a.members) + len(a.peers)
	pause := max(digestTime*time.Duration(receivers)/2, a.sending(2*receivers*digestBytes))
	if a.near.urgent || a.relayed.urgent {
		return pause
	}
	return calmPause * pause
}

// sending is how long the link's share takes to carry so many bytes.
func (a *aggregator) sending(bytes int) time.Duration {
	link := a.linkMbps
	if link <= 0 {
		link = defaultLinkMbps
	}
	perSecond := linkShare * float64(link) * 1e6 / 8
	return time.Duration(float64(bytes) / perSecond * float64(time.Second))
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
	if a.near.placed == 0 && !a.relayed.urgent {
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
func (a *aggregator) pay(now time.Time, bytes int) {
	if a.paidAt.Before(now) {
		a.paidAt = now
	}
	a.paidAt = a.paidAt.Add(a.sending(bytes))
}

// dueFar is when other regions are told the next time.
func (a *aggregator) dueFar() time.Time {
	due := a.sentFarSums.Add(farInterval)
	pause := farPause
	if a.far.pressing {
		pause = pressingPause
	}
	if soon := a.sentFar.Add(pause); a.far.urgent && soon.Before(due) {
		return soon
	}
	return due
}

// aggregate sends the digests that are due.
func (x *Exchange) aggregate(now time.Time, effects *Effects) {
	a := &x.sum
	a.prune(now)
	a.linkMbps = x.gateways[x.name].LinkMbps
	if len(a.members) == 0 {
		*a = newAggregator()
		return
	}
	if !now.Before(a.dueNear()) {
		x.sendNear(now, effects)
	}
	if !now.Before(a.dueFar()) {
		x.sendFar(now, effects)
	}
}

// prune forgets the gateways that no longer report here, and old sums.
func (a *aggregator) prune(now time.Time) {
	for name, member := range a.members {
		if now.Sub(member.at) > memberAge {
			delete(a.members, name)
		}
	}
	for name, other := range a.others {
		if now.Sub(other.at) > othersAge {
			delete(a.others, name)
		}
	}
}

// sendNear sends each member a digest of what the others told, and the other groups
// one of what the members told, with measured prompts and sums when these are due.
// While the link has yet to carry what was sent, the digests only tell that the
// aggregator lives; news that waited long for that are told as sums of readings.
func (x *Exchange) sendNear(now time.Time, effects *Effects) {
	a := &x.sum
	a.sentNear = now
	if now.Before(a.paidAt) {
		x.sendHeartbeats(now, effects)
		return
	}
	first := a.sentNews.IsZero()
	waited := min(now.Sub(a.sentNews), sumsInterval)
	a.sentNews = now
	whole := !now.Before(a.sentSums.Add(sumsInterval))
	if whole {
		a.sentSums = now
	}
	items := a.near.take(whole)
	items.coarse = waited >= coarseAge && !first
	bytes := x.sendPeers(now, whole, &items, effects)
	relayed := a.relayed.take(items.coarse)
	names := slices.Sorted(maps.Keys(a.members))
	due := a.dueSums(names, waited)
	var all map[peer.ReplicaKey]peer.Load
	if len(due) > 0 {
		all = sumOf(a.members, a.others)
	}
	for _, name := range names {
		part := items.without(name)
		part.Region, part.Aggregator = x.region, x.name
		if due[name] {
			part.Complete, part.Loads = true, a.othersOf(name, all)
		}
		digest := &peer.LoadDigest{Aggregator: x.name, Regions: append([]peer.RegionLoads{part}, relayed...)}
		x.sendMember(now, name, digest, effects)
		bytes += sizeOf(digest)
	}
	a.pay(now, bytes)
}

// sendHeartbeats tells the members that the aggregator lives.
func (x *Exchange) sendHeartbeats(now time.Time, effects *Effects) {
	a := &x.sum
	for name := range a.members {
		x.sendMember(now, name, &peer.LoadDigest{Aggregator: x.name}, effects)
	}
	a.pay(now, len(a.members)*digestBytes)
}

// dueSums are the members whose turn it is to be told the sums of all loads: all of
// them once within sumsInterval, a few at a time, so that news need not wait for the
// link. waited is the time since the last turn.
func (a *aggregator) dueSums(names []string, waited time.Duration) map[string]bool {
	a.sumsCredit += float64(len(names)) * waited.Seconds() / sumsInterval.Seconds()
	due := make(map[string]bool)
	for ; a.sumsCredit >= 1 && len(due) < len(names); a.sumsCredit-- {
		due[names[a.sumsTurn%len(names)]] = true
		a.sumsTurn++
	}
	a.sumsCredit = min(a.sumsCredit, 1)
	return due
}

// sendPeers sends the aggregators of the other groups what the members told, and what
// other regions did. It returns the bytes that this takes.
func (x *Exchange) sendPeers(now time.Time, whole bool, items *items, effects *Effects) (bytes int) {
	a := &x.sum
	forwarded := a.forwarded.take(items.coarse)
	peers := x.peers(now)
	if len(peers) == 0 {
		return 0
	}
	part := items.whole()
	part.Region, part.Aggregator = x.region, x.name
	if whole {
		part.Complete, part.Loads = true, sumOf(a.members)
	}
	if isEmpty(&part) && len(forwarded) == 0 {
		return 0
	}
	digest := &peer.LoadDigest{Aggregator: x.name, Regions: append([]peer.RegionLoads{part}, forwarded...)}
	for _, name := range peers {
		effects.Outgoing = append(effects.Outgoing, Outgoing{Address: x.gateways[name].Address, Digest: digest})
	}
	return len(peers) * sizeOf(digest)
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
		size += loadBytes*len(part.Loads) + addedBytes*len(part.PrefillTotals) + readBytes*len(part.PrefillSamples)
		for j := range part.PlacedPrompts {
			size += placedBytes + prefixBytes*len(part.PlacedPrompts[j].Prefixes)
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
		effects.Outgoing = append(effects.Outgoing, Outgoing{Address: member.Address, Digest: digest})
	}
}

// sumOf adds loads up.
func sumOf(reports ...map[string]memberReport) map[peer.ReplicaKey]peer.Load {
	sums := make(map[peer.ReplicaKey]peer.Load)
	for _, list := range reports {
		for _, report := range list {
			for replica, load := range report.loads {
				sums[replica] = sums[replica].Add(load)
			}
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
		sum.Tokens -= own[replica].Tokens
		if sum.Requests > 0 || sum.Tokens > 0 {
			others[replica] = sum
		}
	}
	return others
}

// sendFar sends a digest to an aggregator of each other region, with sums when these
// are due.
func (x *Exchange) sendFar(now time.Time, effects *Effects) {
	a := &x.sum
	a.sentFar = now
	whole := !now.Before(a.sentFarSums.Add(farInterval))
	items := a.far.take(whole)
	var sums map[peer.ReplicaKey]peer.Load
	if whole {
		a.sentFarSums = now
		sums = sumOf(a.members)
	}
	bytes := 0
	for _, region := range slices.Sorted(maps.Keys(x.groups)) {
		name := x.correspondent(region)
		if region == x.region || name == "" {
			continue
		}
		to := x.gateways[name]
		part := items.concerning(func(replica peer.ReplicaKey) bool { return x.loads.RegionOf(replica) == region })
		part.Region, part.Aggregator = x.region, x.name
		part.Complete, part.Loads = whole, sums
		digest := &peer.LoadDigest{Aggregator: x.name, Regions: []peer.RegionLoads{part}}
		effects.Outgoing = append(effects.Outgoing, Outgoing{Address: to.Address, Digest: digest})
		bytes += sizeOf(digest)
	}
	a.pay(now, bytes)
}
