package lease

import (
	"errors"
	"fmt"
	"time"
)

// minRenewalsPerLease is the minimum duration of a lease in renewal intervals. With two,
// the loss of a single renewal does not end the lease.
const minRenewalsPerLease = 2

// Config has the parameters of leases. They must be the same at grantors and holders.
type Config struct {
	// Duration is the duration of a lease, counted from the time at which the holder sent
	// the renewal. Default 1800 ms.
	Duration time.Duration
	// ClockDriftMargin is an upper bound on the drift between two monotonic clocks during
	// a lease. Default 200 ms.
	ClockDriftMargin time.Duration
	// MaxQuorumContactAge is the maximum age of the quorum contact
	// (consensus.Node.QuorumContact) at which a primary still grants leases. Default
	// 400 ms.
	MaxQuorumContactAge time.Duration
	// RenewalInterval is the time between the renewals of a holder. Default 300 ms.
	RenewalInterval time.Duration
}

// DefaultConfig returns a Config with the default of each field.
func DefaultConfig() Config {
	return Config{
		Duration:            1800 * time.Millisecond,
		ClockDriftMargin:    200 * time.Millisecond,
		MaxQuorumContactAge: 400 * time.Millisecond,
		RenewalInterval:     300 * time.Millisecond,
	}
}

// Validate returns an error if a value is not positive or a lease is too short to be
// renewed in time. The error contains the name of the setting.
func (c Config) Validate() error {
	switch {
	case c.Duration <= 0:
		return errors.New("length must be above zero")
	case c.ClockDriftMargin <= 0:
		return errors.New("margin must be above zero")
	case c.MaxQuorumContactAge <= 0:
		return errors.New("quorum_age must be above zero")
	case c.RenewalInterval <= 0:
		return errors.New("renewal must be above zero")
	case c.Duration < minRenewalsPerLease*c.RenewalInterval:
		return fmt.Errorf("length %v must be at least %d renewals of %v", c.Duration, minRenewalsPerLease, c.RenewalInterval)
	}
	return nil
}

// GracePeriod returns the time for which a new primary waits until unknown leases of
// earlier primaries have expired. An earlier primary may have granted leases until
// MaxQuorumContactAge after the election.
func (c Config) GracePeriod() time.Duration {
	return c.Duration + c.MaxQuorumContactAge + c.ClockDriftMargin
}
