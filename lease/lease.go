// Package lease decides, without I/O, which holders may act on which serial of a
// replicated table, after "Leases: An Efficient Fault-Tolerant Mechanism for
// Distributed File Cache Consistency" (Gray and Cheriton, 1989). Grantor runs at the
// primary, Holder at each gateway. All times are monotonic and local to one process.
//
// A holder receives serials by transfers, and makes one active when the grantor
// permits it (the activation serial). A serial is in force once it is active at every
// holder that may have a valid lease.
//
// The invariant that both sides keep together: at no moment has a holder with a
// valid lease an active serial older than one that any primary has returned from
// Grantor.SerialInForce. It rests on these rules.
//
//   - A holder counts the duration of its lease from sending the renewal; the grantor
//     counts Duration+ClockDriftMargin from granting it, which is later.
//   - A grantor grants, and judges that a lease has expired, only up to the quorum
//     contact: the send time of the newest heartbeat round that a quorum acknowledged
//     (consensus.Node.QuorumContact). No successor was elected before it.
//   - A lease is granted only to a holder whose active serial is not older than what
//     may have been returned as in force. To any other holder the grantor answers with
//     a LeaseDuration of zero: it may take the transfer and make serials active, and
//     gets its lease at the next renewal.
//   - A new grantor waits for the grace period, Duration+MaxQuorumContactAge+
//     ClockDriftMargin, before it returns a serial as in force: until then there may be
//     leases of earlier primaries. Meanwhile it lets no serial become active that no
//     holder reports as active, and grants to a holder that is behind the serial of
//     its election only if that holder still had a valid lease when it sent the
//     renewal, and knew the grantor's term then. The grace period ends early if the
//     grantor was given the holders that may have such a lease
//     (Grantor.ExpectReclaims) and each of them is accounted for. Grace period and
//     reclaim are NFSv4's terms (RFC 8881, section 8.4.2).
package lease

import (
	"cmp"
	"time"
)

// HolderID names one incarnation of one holder.
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

// Request is one renewal as the grantor sees it.
type Request struct {
	Holder      string
	Incarnation string
	// ReceivedSerial is the newest serial replicated to the holder; 0 if none.
	ReceivedSerial uint32
	// ActiveSerial is the serial that the holder acts on; 0 if none. It never falls
	// within one incarnation.
	ActiveSerial uint32
	// Release gives the lease up. The holder has stopped acting on it already.
	Release bool
	// LeaseValid reports that the holder's lease was valid when it sent the request.
	LeaseValid bool
	// Term is the newest term that the holder knew when it sent the request.
	Term uint64
}

// Decision is the grantor's answer to a Request.
type Decision struct {
	// Authoritative reports that the grantor is the primary as far as it can know, so
	// that the holder may take a transfer and ActivationSerial from it. If it is false,
	// the holder must ignore the other fields.
	Authoritative bool
	// LeaseDuration counts from the sending of the request. It is 0 if no lease is
	// granted, because the holder must make a newer serial active first; an earlier
	// lease that is still valid stays so.
	LeaseDuration time.Duration
	// ActivationSerial is the newest serial that the holder may make active; 0 if none.
	ActivationSerial uint32
}

// HolderStatus describes one lease that the grantor's clock has not seen expire.
type HolderStatus struct {
	Holder         string
	Incarnation    string
	Remaining      time.Duration // with the margin, so longer than at the holder
	ReceivedSerial uint32
	ActiveSerial   uint32
}
