package lease

import "time"

// ExpectReclaims gives the grantor the complete list of holders that may have a lease
// of an earlier primary. The grace period then ends as soon as each of them is
// accounted for:
//
//   - it renews under another incarnation, so the listed one has ended, or
//   - it renews knowing this term, so it rejects delayed grants of earlier ones, and
//     has either no valid lease or one of this grantor.
//
// Call it before the first Renew, if at all.
func (g *Grantor) ExpectReclaims(now time.Duration, holders []HolderID) {
	g.pendingReclaims = make(map[string]string, len(holders))
	for _, holder := range holders {
		g.pendingReclaims[holder.Holder] = holder.Incarnation
	}
	g.lastReclaim = now
}

// recordReclaim uses a renewal to account for a lease of an earlier primary.
func (g *Grantor) recordReclaim(now time.Duration, request Request, granted bool) {
	incarnation, pending := g.pendingReclaims[request.Holder]
	if !pending {
		return
	}
	if request.Term != g.term {
		return // it may be delayed, and from before the listed incarnation
	}
	restarted := request.Incarnation != incarnation
	if restarted || granted || !request.LeaseValid {
		delete(g.pendingReclaims, request.Holder)
		g.lastReclaim = now
	}
}

func (g *Grantor) allReclaimed() bool {
	return g.pendingReclaims != nil && len(g.pendingReclaims) == 0
}

// GracePeriodOver reports whether every lease of an earlier primary has expired or is
// accounted for. Either counts only up to the quorum contact: after it, another primary
// may have been elected and granted leases.
func (g *Grantor) GracePeriodOver() bool {
	if !g.quorumContactKnown {
		return false
	}
	if g.allReclaimed() && g.quorumContact >= g.lastReclaim {
		return true
	}
	return g.quorumContact >= g.gracePeriodEnd
}

// AwaitsQuorumContact reports whether each holder that may have a lease of an earlier
// primary is accounted for, so that a newer quorum contact would end the grace period.
func (g *Grantor) AwaitsQuorumContact() bool {
	return g.allReclaimed() && !g.GracePeriodOver()
}
