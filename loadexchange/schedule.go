package loadexchange

import "time"

const (
	// heartbeatInterval is the longest time between two digests to the members. Digests
	// also show the members that the aggregator is alive.
	heartbeatInterval = 240 * time.Millisecond
	// sumsInterval is the period in which the sums of the loads are sent once to each member
	// and each other group.
	sumsInterval = 960 * time.Millisecond
	// totalsOnlyDelay is how long updates must have waited for the link for their prompts
	// to be sent as totals only and not one by one.
	totalsOnlyDelay = 480 * time.Millisecond
	// crossRegionSumsInterval is the time between two digests with sums to other regions.
	// crossRegionInterval is the shortest time between two digests of any kind to other
	// regions unless a prompt is critical.
	crossRegionSumsInterval = 960 * time.Millisecond
	crossRegionInterval     = 240 * time.Millisecond
	// criticalInterval replaces crossRegionInterval if a prompt is critical. Critical
	// prompts are rare, and a gateway that does not know of one places requests that then
	// have to wait for it.
	criticalInterval = 40 * time.Millisecond

	// digestCost is the time that an aggregator needs to send one digest to one gateway.
	digestCost = time.Millisecond
	// nonUrgentFactor multiplies the shortest time between two digests if no update is
	// urgent.
	nonUrgentFactor = 4
	// linkShare is the fraction of the capacity of an aggregator's link that its digests may
	// use. defaultLinkMbps is the capacity in Mbit/s that is assumed if it is unknown.
	linkShare       = 0.2
	defaultLinkMbps = 10
	bitsPerMegabit  = 1e6
)

// due returns when the next digest of any kind is due. It returns false if this gateway has
// no members and therefore sends no digests.
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
	if a.intraRegion.placed == 0 && !a.memberRelay.urgent {
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

// minDigestInterval returns the shortest time between two digests to the members and the
// other groups. If an update is urgent, it is at least half of the time that sending the
// digests takes by digestCost, and so long that empty digests use at most half of the link's
// share. Otherwise it is nonUrgentFactor times as long.
func (a *aggregator) minDigestInterval() time.Duration {
	receivers := len(a.members) + len(a.peerGroups)
	interval := max(digestCost*time.Duration(receivers)/2, a.transmissionTime(2*receivers*digestBytes))
	if a.intraRegion.urgent || a.memberRelay.urgent {
		return interval
	}
	return nonUrgentFactor * interval
}

// transmissionTime returns how long the transmission of the given number of bytes takes at
// the digests' share of the link.
func (a *aggregator) transmissionTime(bytes int) time.Duration {
	link := a.linkMbps
	if link <= 0 {
		link = defaultLinkMbps
	}
	bytesPerSecond := linkShare * float64(link) * bitsPerMegabit / 8
	return time.Duration(float64(bytes) / bytesPerSecond * float64(time.Second))
}

// reserveLink reserves the link for the transmission of bytes that were just sent.
func (a *aggregator) reserveLink(now time.Time, bytes int) {
	if a.linkFreeAt.Before(now) {
		a.linkFreeAt = now
	}
	a.linkFreeAt = a.linkFreeAt.Add(a.transmissionTime(bytes))
}

// sumsDue returns the members that are due to be sent the sums of all loads, given the time
// since the last digests. Each member is due once per sumsInterval. They are spread over
// this interval, a few at a time, so that updates need not wait for the link.
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
