package lease

import "time"

// ExpectReclaims informs the grantor of all holders that may have a lease of an earlier
// primary. The grace period then ends early, as soon as each of them is accounted for. A
// holder is accounted for by a renewal in which it knows this grantor's term, so that it
// rejects delayed grants of earlier terms, and
//
//   - it has another incarnation, so the listed one has ended, or
//   - it has no valid lease, or this grantor grants it one.
//
// ExpectReclaims is optional. If used, it must be called before the first Renew.
func (g *Grantor) ExpectReclaims(now time.Duration, holders []HolderID) {
	g.pendingReclaims = make(map[string]string, len(holders))
	for _, holder := range holders {
		g.pendingReclaims[holder.Holder] = holder.Incarnation
	}
	g.lastReclaim = now
}

// recordReclaim accounts for the holder's lease of an earlier primary, if this renewal
// permits it, see ExpectReclaims.
func (g *Grantor) recordReclaim(now time.Duration, request RenewalRequest, granted bool) {
	incarnation, pending := g.pendingReclaims[request.Holder]
	if !pending {
		return
	}
	if request.Term != g.term {
		return // it may be a delayed renewal, sent before the listed incarnation started
	}
	restarted := request.Incarnation != incarnation
	if restarted || granted || !request.LeaseValid {
		delete(g.pendingReclaims, request.Holder)
		g.lastReclaim = now
	}
}

// allReclaimed reports whether the holders with leases of earlier primaries are known and
// all of them are accounted for.
func (g *Grantor) allReclaimed() bool {
	return g.pendingReclaims != nil && len(g.pendingReclaims) == 0
}

// GracePeriodOver reports whether every lease of an earlier primary had expired or was
// accounted for at the time of the quorum contact. Later events do not count, since
// another primary may have been elected since then and may have granted leases.
func (g *Grantor) GracePeriodOver() bool {
	if !g.quorumContactKnown {
		return false
	}
	if g.allReclaimed() && g.quorumContact >= g.lastReclaim {
		return true
	}
	return g.quorumContact >= g.gracePeriodEnd
}

// AwaitsQuorumContact reports whether all that is missing to end the grace period is a
// newer quorum contact, because every expected holder is accounted for.
func (g *Grantor) AwaitsQuorumContact() bool {
	return g.allReclaimed() && !g.GracePeriodOver()
}
