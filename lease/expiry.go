package lease

import (
	"math"
	"slices"
	"time"
)

// NoDeadline is returned by Grantor.NextDeadline if there is no deadline.
const NoDeadline = time.Duration(math.MaxInt64)

// Expired returns the holders whose leases have expired by the grantor's clock since the
// last call, sorted by holder and incarnation. It does not return holders that released
// their lease. It deletes the leases, including released ones, that had already expired
// at the time of the quorum contact; until then they still count for SerialInForce.
func (g *Grantor) Expired(now time.Duration) []HolderID {
	var expired []HolderID
	for id, entry := range g.leases {
		if entry.expiry > now {
			continue
		}
		if !entry.expiryReported {
			entry.expiryReported = true
			expired = append(expired, id)
		}
		if !g.isLive(entry) {
			delete(g.leases, id)
		}
	}
	slices.SortFunc(expired, compareHolderIDs)
	return expired
}

// Holders returns the leases that have not expired by the grantor's clock, sorted by
// holder and incarnation.
func (g *Grantor) Holders(now time.Duration) []HolderStatus {
	holders := make([]HolderStatus, 0, len(g.leases))
	for id, entry := range g.leases {
		if entry.expiry <= now {
			continue
		}
		holders = append(holders, HolderStatus{
			Holder:         id.Holder,
			Incarnation:    id.Incarnation,
			Remaining:      entry.expiry - now,
			ReceivedSerial: entry.receivedSerial,
			ActiveSerial:   entry.activeSerial,
		})
	}
	slices.SortFunc(holders, func(a, b HolderStatus) int { return compareHolderIDs(a.id(), b.id()) })
	return holders
}

func (s HolderStatus) id() HolderID {
	return HolderID{Holder: s.Holder, Incarnation: s.Incarnation}
}

// NextDeadline returns the time of the next event that needs no message: the end of the
// grace period or the expiry of a lease. It returns NoDeadline if there is none.
func (g *Grantor) NextDeadline(now time.Duration) time.Duration {
	next := NoDeadline
	if g.gracePeriodEnd > now {
		next = g.gracePeriodEnd
	}
	for _, entry := range g.leases {
		if entry.expiry > now && entry.expiry < next {
			next = entry.expiry
		}
	}
	return next
}
