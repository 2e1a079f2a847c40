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
	// Times of the last digest to the members, of the last with sums, and of the
	// last to other regions.
	sentNear, sentSums, sentFar time.Time
}

// memberReport is the newest load that a gateway reported.
type memberReport struct {
	at    time.Time
	loads map[string]peer.Load
}

// news is what gateways placed and measured, by gateway in the order of arrival.
type news struct {
	items  []peer.ReplicaLoads
	urgent bool
}

func (n *news) add(report *peer.ReplicaLoads, urgentReading int) {
	if len(report.Placed)+len(report.Read) == 0 {
		return
	}
	n.items = append(n.items, peer.ReplicaLoads{Gateway: report.Gateway, Placed: report.Placed, Read: report.Read})
	for _, placed := range report.Placed {
		n.urgent = n.urgent || placed.ReadingMS >= urgentReading
	}
}

// take returns the news, once.
func (n *news) take() []peer.ReplicaLoads {
	items := n.items
	*n = news{}
	return items
}

// take takes one report in.
func (a *aggregator) take(now time.Time, report *peer.ReplicaLoads) {
	a.members[report.Gateway] = memberReport{at: now, loads: report.Loads}
	a.near.add(report, urgentReading)
	a.far.add(report, longReading)
}

// relay keeps another region's loads for the members.
func (a *aggregator) relay(digest *peer.LoadDigest) {
	if len(a.members) > 0 {
		a.relayed = append(a.relayed, digest.Regions...)
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
func (a *aggregator) due(time.Time) (due time.Time, acting bool) {
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
	due := a.sentSums.Add(sumsInterval)
	if len(a.near.items) == 0 {
		return due
	}
	if soon := a.sentNear.Add(a.pause()); soon.Before(due) {
		return soon
	}
	return due
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

// sendNear sends a digest to the members, with sums when these are due.
func (x *Exchange) sendNear(now time.Time, effects *Effects) {
	a := &x.sum
	part := peer.RegionLoads{Region: x.region, Aggregator: x.name, News: a.near.take()}
	if !now.Before(a.sentSums.Add(sumsInterval)) {
		part.Whole, part.Loads = true, a.sums()
		a.sentSums = now
	}
	digest := &peer.LoadDigest{Aggregator: x.name, Regions: append([]peer.RegionLoads{part}, a.relayed...)}
	a.relayed = nil
	a.sentNear = now
	var addresses []string
	for _, name := range slices.Sorted(maps.Keys(a.members)) {
		if name == x.name {
			continue
		}
		if member, up := x.gateways[name]; up {
			addresses = append(addresses, member.Address)
		}
	}
	if len(addresses) > 0 {
		effects.Send = append(effects.Send, Outgoing{Addresses: addresses, Digest: digest})
	}
	if x.own.aggregator == x.name {
		x.own.heard(now)
		x.observe(digest, effects)
	}
}

// sums adds the members' loads up.
func (a *aggregator) sums() map[string]peer.Load {
	sums := make(map[string]peer.Load)
	for _, member := range a.members {
		for replica, load := range member.loads {
			sum := sums[replica]
			sum.Requests += load.Requests
			sum.Held += load.Held
			sum.OverdueMS = max(sum.OverdueMS, load.OverdueMS)
			sums[replica] = sum
		}
	}
	return sums
}

// sendFar sends a digest to the aggregator of each other region.
func (x *Exchange) sendFar(now time.Time, effects *Effects) {
	a := &x.sum
	a.sentFar = now
	items := a.far.take()
	sums := a.sums()
	for _, region := range slices.Sorted(maps.Keys(x.far)) {
		to := x.gateways[owner(region, x.far[region], nil)]
		part := peer.RegionLoads{Region: x.region, Aggregator: x.name, Whole: true, Loads: sums, News: x.concerning(region, items)}
		digest := &peer.LoadDigest{Aggregator: x.name, Regions: []peer.RegionLoads{part}}
		effects.Send = append(effects.Send, Outgoing{Addresses: []string{to.Address}, Digest: digest})
	}
}

// concerning leaves out what another region need not know: short prompts that were
// given to replicas outside of it.
func (x *Exchange) concerning(region string, items []peer.ReplicaLoads) []peer.ReplicaLoads {
	var open []peer.ReplicaLoads
	for _, item := range items {
		told := peer.ReplicaLoads{Gateway: item.Gateway, Read: item.Read}
		for _, placed := range item.Placed {
			if placed.ReadingMS >= urgentReading || x.loads.RegionOf(placed.Replica) == region {
				told.Placed = append(told.Placed, placed)
			}
		}
		if len(told.Placed)+len(told.Read) > 0 {
			open = append(open, told)
		}
	}
	return open
}
