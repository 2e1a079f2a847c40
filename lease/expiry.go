package lease

import (
	"math"
	"slices"
	"time"
)

// NoDeadline is returned by Grantor.NextDeadline when nothing is due.
const NoDeadline = time.Duration(math.MaxInt64)

// Expired returns the holders whose leases have expired by the grantor's clock since
// the last call, each once, in the order of their names. It drops the leases that are
// expired as of the quorum contact too, released ones included; until then they still
// hold SerialInForce back.
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

// Holders returns the leases that have not expired by the grantor's clock, in the order
// of their holders' names.
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

// NextDeadline returns when something changes by the passing of time alone: the end of
// the grace period or the expiry of the next lease. It is NoDeadline if nothing does.
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
