package loadexchange

import "time"

const (
	// heartbeatInterval is the longest time between two digests to the members, which
	// also show that the aggregator is alive.
	heartbeatInterval = 240 * time.Millisecond
	// sumsInterval is the time in which each member and each other group is sent the
	// sums of all loads once.
	sumsInterval = 960 * time.Millisecond
	// coarseDelay is how long updates have to wait for the link until prompts are no
	// longer sent one by one.
	coarseDelay = 480 * time.Millisecond
	// crossRegionSumsInterval is the time between two digests with sums to other
	// regions, and crossRegionInterval the shortest time between two digests of any
	// kind, unless a prompt is critical.
	crossRegionSumsInterval = 960 * time.Millisecond
	crossRegionInterval     = 240 * time.Millisecond
	// criticalInterval takes the place of crossRegionInterval for a critical prompt.
	// These are rare, and a gateway that does not know of one queues requests behind it.
	criticalInterval = 40 * time.Millisecond

	// digestCost is the time that an aggregator takes to send one digest to one gateway.
	digestCost = time.Millisecond
	// relaxedFactor lengthens the time between two digests without an urgent update.
	relaxedFactor = 4
	// linkShare is the share of an aggregator's link that its digests may use, and
	// defaultLinkMbps the capacity of a link that is not known, in Mbit/s.
	linkShare       = 0.2
	defaultLinkMbps = 10
	// bitsPerMegabit converts the capacity of links.
	bitsPerMegabit = 1e6
)

// due returns when the next digest of any kind is due, and whether this gateway
// aggregates at all.
func (a *aggregator) due() (due time.Time, aggregating bool) {
	if len(a.members) == 0 {
		return time.Time{}, false
	}
	due = a.intraRegionDue()
	if crossRegion := a.crossRegionDue(); crossRegion.Before(due) {
		due = crossRegion
	}
	return due, true
}

// intraRegionDue returns when the next digest to the members and the other groups is
// due.
func (a *aggregator) intraRegionDue() time.Time {
	heartbeat := a.lastDigest.Add(heartbeatInterval)
	if a.intraRegion.placed == 0 && !a.relayed.urgent {
		return heartbeat
	}
	due := a.lastDigest.Add(a.minDigestInterval())
	if due.Before(a.linkFreeAt) {
		due = a.linkFreeAt
	}
	if due.Before(heartbeat) {
		return due
	}
	return heartbeat
}

// crossRegionDue returns when the next digest to other regions is due.
func (a *aggregator) crossRegionDue() time.Time {
	sums := a.lastCrossRegionSums.Add(crossRegionSumsInterval)
	interval := crossRegionInterval
	if a.crossRegion.critical {
		interval = criticalInterval
	}
	due := a.lastCrossRegion.Add(interval)
	if a.crossRegion.urgent && due.Before(sums) {
		return due
	}
	return sums
}

// minDigestInterval returns the shortest time between two digests to the members and
// the other groups. With an urgent update, half of the aggregator's time and of its
// link's share may go into sending empty digests.
func (a *aggregator) minDigestInterval() time.Duration {
	receivers := len(a.members) + len(a.peerGroups)
	interval := max(digestCost*time.Duration(receivers)/2, a.transmissionTime(2*receivers*digestBytes))
	if a.intraRegion.urgent || a.relayed.urgent {
		return interval
	}
	return relaxedFactor * interval
}

// transmissionTime returns how long the link's share takes to carry so many bytes.
func (a *aggregator) transmissionTime(bytes int) time.Duration {
	link := a.linkMbps
	if link <= 0 {
		link = defaultLinkMbps
	}
	bytesPerSecond := linkShare * float64(link) * bitsPerMegabit / 8
	return time.Duration(float64(bytes) / bytesPerSecond * float64(time.Second))
}

// chargeLink reserves the link for bytes that were sent.
func (a *aggregator) chargeLink(now time.Time, bytes int) {
	if a.linkFreeAt.Before(now) {
		a.linkFreeAt = now
	}
	a.linkFreeAt = a.linkFreeAt.Add(a.transmissionTime(bytes))
}

// sumsDue returns the members whose turn it is to be sent the sums of all loads, given
// the time since the last turn. Each has one turn in sumsInterval, and they take turns
// a few at a time so that updates need not wait for the link.
func (a *aggregator) sumsDue(names []string, elapsed time.Duration) map[string]bool {
	a.sumsCredit += float64(len(names)) * elapsed.Seconds() / sumsInterval.Seconds()
	due := make(map[string]bool)
	for ; a.sumsCredit >= 1 && len(due) < len(names); a.sumsCredit-- {
		due[names[a.nextSums%len(names)]] = true
		a.nextSums++
	}
	a.sumsCredit = min(a.sumsCredit, 1)
	return due
}
