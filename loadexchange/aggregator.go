package loadexchange

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

const (
	// memberTTL is how long a report makes its sender a member of the aggregator.
	memberTTL = 1500 * time.Millisecond
	// relayedSumsTTL is how long the sums of other groups and regions count.
	relayedSumsTTL = 2500 * time.Millisecond
)

// aggregator is the side of a gateway that sums up reports. Every gateway has one; it
// is active while any gateway reports to it.
type aggregator struct {
	// members are the gateways that report here, by name.
	members map[string]memberReport
	// relayedSums are the newest sums of other groups and regions, by the name of their
	// aggregator.
	relayedSums map[string]memberReport
	// intraRegion and crossRegion are the updates from members that are still to be
	// sent within the region and to other regions.
	intraRegion, crossRegion updates
	// relayed has the updates of other groups and regions that are still to be sent to
	// the members, and forwarded those of other regions that are still to be sent to
	// the other groups.
	relayed, forwarded relayQueue
	// peerGroups are the other groups of the region, by number.
	peerGroups map[int]peerGroup

	// lastDigest is the time of the last digest to the members, lastUpdates of the last
	// one that was more than a heartbeat, and lastPeerSums of the last one that had
	// complete sums for the other groups.
	lastDigest, lastUpdates, lastPeerSums time.Time
	// lastCrossRegion is the time of the last digest to other regions, and
	// lastCrossRegionSums of the last one with complete sums.
	lastCrossRegion, lastCrossRegionSums time.Time

	// nextSums counts the members that were sent the sums, so that they take turns, and
	// sumsCredit is how many turns are due.
	nextSums   int
	sumsCredit float64

	// linkMbps is the capacity of the own link in Mbit/s; 0 if it is not known.
	linkMbps int
	// linkFreeAt is when the link, at its share, will have carried all that was sent.
	linkFreeAt time.Time
}

// memberReport is the newest load of a gateway, or the newest sums of an aggregator.
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

// addReport makes the sender of a report a member and queues its updates.
func (a *aggregator) addReport(now time.Time, report *peer.ReplicaLoads) {
	a.members[report.Gateway] = memberReport{receivedAt: now, loads: report.Loads}
	a.intraRegion.add(report, urgentPrefillMS)
	a.crossRegion.add(report, crossRegionUrgentPrefillMS)
}

// relayCrossRegion queues a digest from another region for the members and the other
// groups.
func (a *aggregator) relayCrossRegion(now time.Time, digest *peer.LoadDigest) {
	if len(a.members) > 0 {
		a.forwarded.add(digest.Regions)
	}
	a.relayIntraRegion(now, digest)
}

// relayIntraRegion queues a digest for the members. Sums are not relayed by themselves:
// they become part of the sums that the members are sent.
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
	a.relayed.add(parts)
}

// aggregate sends the digests that are due. An aggregator without members forgets what
// it was to send.
func (x *Exchange) aggregate(now time.Time, effects *Effects) {
	a := &x.aggregator
	a.prune(now)
	a.linkMbps = x.gateways[x.name].LinkMbps
	if len(a.members) == 0 {
		*a = newAggregator()
		return
	}
	if !now.Before(a.intraRegionDue()) {
		x.sendIntraRegion(now, effects)
	}
	if !now.Before(a.crossRegionDue()) {
		x.sendCrossRegion(now, effects)
	}
}

// prune removes the members that no longer report here, and sums that are too old.
func (a *aggregator) prune(now time.Time) {
	removeExpired(a.members, now, memberTTL)
	removeExpired(a.relayedSums, now, relayedSumsTTL)
}

// removeExpired deletes the reports that are older than ttl.
func removeExpired(reports map[string]memberReport, now time.Time, ttl time.Duration) {
	for name, report := range reports {
		if now.Sub(report.receivedAt) > ttl {
			delete(reports, name)
		}
	}
}

// sumLoads adds up loads by replica.
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

// loadOfOthers returns the sums without a member's own load.
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
