// Package lease decides, without I/O, who may act on which serial, after
// "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
// Consistency" (Gray and Cheriton, 1989). Grantor runs at the primary; Holder
// runs at each gateway. All times are monotonic and local to one process.
package lease

import "time"

// Terms are the constants both sides must agree on.
type Terms struct {
	// Length of a lease, from the holder's sending of the renewal. Default 1800 ms.
	Length time.Duration
	// Margin covers the drift of two monotonic clocks over a lease. Default 200 ms.
	Margin time.Duration
	// QuorumAge is the oldest proof of office (consensus.Node.QuorumContact) with
	// which a primary may still grant. Default 400 ms.
	QuorumAge time.Duration
	// Renewal is the interval between a holder's renewals. Default 300 ms.
	Renewal time.Duration
}

// DefaultTerms returns the documented defaults.
func DefaultTerms() Terms {
	return Terms{
		Length:    1800 * time.Millisecond,
		Margin:    200 * time.Millisecond,
		QuorumAge: 400 * time.Millisecond,
		Renewal:   300 * time.Millisecond,
	}
}
