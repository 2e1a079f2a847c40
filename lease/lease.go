// Package lease implements leases that determine which holders may act on which serial
// of a replicated table, after "Leases: An Efficient Fault-Tolerant Mechanism for
// Distributed File Cache Consistency" (Gray and Cheriton, 1989). Grantor runs at the
// primary, Holder at each gateway. The package performs no I/O. All times are durations
// on the monotonic clock of one process.
//
// A holder receives serials by transfers, and makes one active when the grantor permits
// it by the activation serial. A serial is in force once it is active at every holder
// that may have a valid lease.
//
// Grantors and holders together maintain this invariant: the active serial of a holder
// with a valid lease is never older than a serial that any primary has returned from
// Grantor.SerialInForce. It depends on these rules.
//
//   - A holder counts the duration of its lease from the time at which it sent the
//     renewal; the grantor counts Duration+ClockDriftMargin from the time of the grant,
//     which is later.
//   - The quorum contact is the send time of the newest heartbeat round that a quorum
//     has acknowledged (consensus.Node.QuorumContact); no successor was elected before
//     it. A grantor grants leases only while its quorum contact is recent, and treats a
//     lease as expired only if it had already expired at the quorum contact.
//   - A lease is granted only to a holder whose active serial is not older than any
//     serial that may have been returned as in force. Any other holder gets a
//     LeaseDuration of zero: it may accept the transfer and make serials active, and
//     gets a lease by a later renewal.
//   - A new grantor returns no serial as in force until the grace period,
//     Duration+MaxQuorumContactAge+ClockDriftMargin, is over: until then there may be
//     leases of earlier primaries. During the grace period it permits holders to make
//     only those serials active that a holder has already reported as active. It grants
//     a lease to a holder whose active serial is older than the serial at the election
//     only if the holder still had a valid lease when it sent the renewal, and knew the
//     grantor's term then. The grace period ends early if the grantor knows all holders
//     that may have a lease of an earlier primary (Grantor.ExpectReclaims) and each of
//     them is accounted for. The terms grace period and reclaim are those of NFSv4 (RFC
//     8881, section 8.4.2).
package lease

import (
	"cmp"
	"time"
)

// HolderID identifies one incarnation of a holder.
type HolderID struct {
	Holder      string
	Incarnation string
}

// compareHolderIDs orders by holder, then by incarnation.
func compareHolderIDs(a, b HolderID) int {
	return cmp.Or(
		cmp.Compare(a.Holder, b.Holder),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

// RenewalRequest is a renewal request of a holder.
type RenewalRequest struct {
	Holder      string
	Incarnation string
	// ReceivedSerial is the newest serial that the holder has received, or 0.
	ReceivedSerial uint32
	// ActiveSerial is the serial that the holder acts on, or 0. It never decreases
	// within one incarnation.
	ActiveSerial uint32
	// Release ends the lease. The holder has already stopped acting on it.
	Release bool
	// Follows asks for the activation serial in the reply to a release: the holder has no
	// lease any more, but still acts on its active serial until it ends.
	Follows bool
	// LeaseValid is true if the holder's lease was valid when it sent the request.
	LeaseValid bool
	// Term is the newest term that the holder knew when it sent the request.
	Term uint64
}

// Decision is the grantor's reply to a RenewalRequest.
type Decision struct {
	// QuorumConfirmed is true if the grantor's quorum contact was recent enough to decide
	// on leases, see Config.MaxQuorumContactAge. The holder may then accept a transfer
	// and ActivationSerial. It does not mean that a lease was granted, see LeaseDuration.
	// If it is false, no lease was granted and the holder must ignore the other fields.
	// In the reply to a release it is false unless the holder follows.
	QuorumConfirmed bool
	// LeaseDuration is the duration of the granted lease, counted from the time at which
	// the holder sent the request. It is 0 if no lease was granted. If QuorumConfirmed
	// is true, the holder must then first make a newer serial active, or has recently
	// released its lease. An earlier lease that is still valid remains valid.
	LeaseDuration time.Duration
	// ActivationSerial is the newest serial that the holder may make active, or 0.
	ActivationSerial uint32
}

// HolderStatus describes a lease that has not expired by the grantor's clock.
type HolderStatus struct {
	Holder         string
	Incarnation    string
	Remaining      time.Duration // includes ClockDriftMargin, so it is longer than at the holder
	ReceivedSerial uint32
	ActiveSerial   uint32
}
