package loadexchange

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

const (
	// memberTTL is how long a gateway remains a member of an aggregator after its last
	// report.
	memberTTL = 1500 * time.Millisecond
	// relayedSumsTTL is how long the sums of other groups and regions are used after they
	// were received.
	relayedSumsTTL = 2500 * time.Millisecond
)

// aggregator is the state of a gateway as the aggregator of a group. Every gateway has one;
// it is active while any gateway reports to it, the own one included.
type aggregator struct {
	// members holds the newest load of each gateway that reports here, by name.
	members map[string]memberReport
	// relayedSums holds the newest sums of other groups and regions, by the name of their
	// aggregator.
	relayedSums map[string]memberReport
	// intraRegion and crossRegion hold the members' updates that have not yet been sent
	// within the region or to other regions, respectively.
	intraRegion, crossRegion updates
	// memberRelay holds the updates of other groups and regions that have not yet been sent
	// to the members. peerGroupRelay holds the updates of other regions that have not yet
	// been sent to the other groups.
	memberRelay, peerGroupRelay relayQueue
	// peerGroups holds the other groups of the region from which a digest was received, by
	// number.
	peerGroups map[int]peerGroup

	// lastDigest is the time of the last digest to the members, and lastUpdates that of the
	// last one that was not only a heartbeat. lastPeerSums is the time of the last digest
	// with complete sums to the other groups.
	lastDigest, lastUpdates, lastPeerSums time.Time
	// lastCrossRegion is the time of the last digest to other regions, and
	// lastCrossRegionSums that of the last one with complete sums.
	lastCrossRegion, lastCrossRegionSums time.Time

	// nextSums counts the digests with sums sent to members, which get them in turn, and
	// sumsCredit is how many members are due to get them.
	nextSums   int
	sumsCredit float64

	// linkMbps is the capacity of the own network link in Mbit/s; 0 if it is unknown.
	linkMbps int
	// linkFreeAt is when everything sent so far will have been transmitted if digests use
	// no more than their share of the link.
	linkFreeAt time.Time
}

// memberReport is the newest load of a gateway or the newest sums of an aggregator, with
// the time when it was received.
type memberReport struct {
	receivedAt time.Time
	loads      map[peer.ReplicaKey]peer.Load
}

func newAggregator() aggregator {
	return aggregator{
		members:     make(map[string]memberReport),
		relayedSums: make(map[string]memberReport),
		peerGroups:  make(map[int]peerGroup),
	}
}

// addReport records the sender of a report as a member and queues the report's updates.
func (a *aggregator) addReport(now time.Time, report *peer.ReplicaLoads) {
	a.members[report.Gateway] = memberReport{receivedAt: now, loads: report.Loads}
	a.intraRegion.add(report, urgentPrefillMS)
	a.crossRegion.add(report, crossRegionUrgentPrefillMS)
}

// relayCrossRegion queues a digest from another region to be relayed to the members and to
// the other groups.
func (a *aggregator) relayCrossRegion(now time.Time, digest *peer.LoadDigest) {
	if len(a.members) > 0 {
		a.peerGroupRelay.add(digest.Regions)
	}
	a.relayIntraRegion(now, digest)
}

// relayIntraRegion queues a digest to be relayed to the members. Its sums are not relayed
// as such but added to the sums that are sent to the members.
func (a *aggregator) relayIntraRegion(now time.Time, digest *peer.LoadDigest) {
	if len(a.members) == 0 {
		return
	}
	parts := slices.Clone(digest.Regions)
	for i := range parts {
		part := &parts[i]
		if !part.Complete {
			continue
		}
		a.relayedSums[part.Aggregator] = memberReport{receivedAt: now, loads: part.Loads}
		part.Complete, part.Loads = false, nil
	}
	a.memberRelay.add(parts)
}

// aggregate sends the digests that are due. An aggregator without members discards all
// queued updates.
func (e *Exchange) aggregate(now time.Time, effects *Effects) {
	a := &e.aggregator
	a.prune(now)
	a.linkMbps = e.gateways[e.name].LinkMbps
	if len(a.members) == 0 {
		*a = newAggregator()
		return
	}
	if !now.Before(a.intraRegionDue()) {
		e.sendIntraRegion(now, effects)
	}
	if !now.Before(a.crossRegionDue()) {
		e.sendCrossRegion(now, effects)
	}
}

// prune removes members that have stopped reporting here, and sums that are too old.
func (a *aggregator) prune(now time.Time) {
	removeExpired(a.members, now, memberTTL)
	removeExpired(a.relayedSums, now, relayedSumsTTL)
}

// removeExpired deletes the reports that were received longer ago than ttl.
func removeExpired(reports map[string]memberReport, now time.Time, ttl time.Duration) {
	for name, report := range reports {
		if now.Sub(report.receivedAt) > ttl {
			delete(reports, name)
		}
	}
}

// sumLoads returns the sums of the reported loads by replica.
func sumLoads(reports ...map[string]memberReport) map[peer.ReplicaKey]peer.Load {
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

// loadOfOthers returns the sums minus a member's own load.
func (a *aggregator) loadOfOthers(member string, sums map[peer.ReplicaKey]peer.Load) map[peer.ReplicaKey]peer.Load {
	own := a.members[member].loads
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
