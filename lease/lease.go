// Package lease decides, without I/O, who may act on which serial, after
// "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
// Consistency" (Gray and Cheriton, 1989). Grantor runs at the primary; Holder
// runs at each gateway. All times are monotonic and local to one process.
//
// The invariant that both sides keep together: at no moment has a holder with a
// valid lease an active serial older than one that any primary has reported by
// Grantor.SerialInForce. It rests on these rules.
//
//   - A holder counts its lease from the sending of the renewal; the grantor
//     counts Length+Margin from its own, later, granting.
//   - A grantor grants, and judges that a lease ran out, only up to the newest
//     moment for which it has proof of leadership: the sending of a heartbeat round
//     that a majority acknowledged. No other primary led before it.
//   - A lease is granted only to a holder whose reported active serial is not
//     older than what may have been reported in force. To any other holder the
//     grantor answers with a Length of zero: it may take the transfer and make
//     serials active, and gets its lease at the next renewal.
//   - A new grantor waits Length+QuorumAge+Margin before it reports a serial as
//     in force. In this window it lets no serial become active that no holder
//     reports as active, and grants to a holder that is behind the serial of its
//     election only if that holder still had a valid lease when it asked, and
//     asked knowing the grantor's term. The window ends early if the grantor was
//     told who may have such a lease (Grantor.ExpectReclaims) and each is accounted for.
package lease

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// NoDeadline is returned by Grantor.NextDeadline when nothing is due.
const NoDeadline = time.Duration(math.MaxInt64)

// Config are the constants both sides must agree on.
type Config struct {
	// Duration of a lease, from the holder's sending of the renewal. Default 1800 ms.
	Duration time.Duration
	// ClockDriftMargin covers the drift of two monotonic clocks over a lease. Default 200 ms.
	ClockDriftMargin time.Duration
	// MaxQuorumContactAge is the oldest proof of leadership (consensus.Node.QuorumContact) with
	// which a primary may still grant. Default 400 ms.
	MaxQuorumContactAge time.Duration
	// RenewalInterval is the interval between a holder's renewals. Default 300 ms.
	RenewalInterval time.Duration
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		Duration:            1800 * time.Millisecond,
		ClockDriftMargin:    200 * time.Millisecond,
		MaxQuorumContactAge: 400 * time.Millisecond,
		RenewalInterval:     300 * time.Millisecond,
	}
}

// Validate says whether leases of these terms can be kept up.
func (t Config) Validate() error {
	switch {
	case t.Duration <= 0:
		return errors.New("length must be above zero")
	case t.ClockDriftMargin <= 0:
		return errors.New("margin must be above zero")
	case t.MaxQuorumContactAge <= 0:
		return errors.New("quorum_age must be above zero")
	case t.RenewalInterval <= 0:
		return errors.New("renewal must be above zero")
	case t.Duration < minimumRenewals*t.RenewalInterval:
		return fmt.Errorf("length %v must be at least %d renewals of %v", t.Duration, minimumRenewals, t.RenewalInterval)
	}
	return nil
}

// minimumRenewals is how many renewals a lease must last, so that the loss of
// one does not end it.
const minimumRenewals = 2

// GracePeriod is how long a new primary waits for the leases that it cannot know of.
func (t Config) GracePeriod() time.Duration {
	return t.Duration + t.MaxQuorumContactAge + t.ClockDriftMargin
}

// serialLess compares two serials as RFC 1982 does. Zero stands for "none" and
// is less than every serial.
func serialLess(a, b uint32) bool {
	if a == 0 || b == 0 {
		return a == 0 && b != 0
	}
	return int32(a-b) < 0
}

func newerSerial(a, b uint32) uint32 {
	if serialLess(a, b) {
		return b
	}
	return a
}
