package lease

import (
	"errors"
	"fmt"
	"time"
)

// minRenewalsPerLease is how many renewals a lease must last, so that the loss of one
// does not end it.
const minRenewalsPerLease = 2

// Config has the constants that grantors and holders must agree on.
type Config struct {
	// Duration is the duration of a lease, counted from the holder's sending of the
	// renewal. Default 1800 ms.
	Duration time.Duration
	// ClockDriftMargin covers the drift of two monotonic clocks over a lease. Default
	// 200 ms.
	ClockDriftMargin time.Duration
	// MaxQuorumContactAge is the greatest age of the quorum contact
	// (consensus.Node.QuorumContact) with which a primary grants. Default 400 ms.
	MaxQuorumContactAge time.Duration
	// RenewalInterval is the time between two renewals of a holder. Default 300 ms.
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

// Validate returns an error that names the setting if leases cannot be kept up with
// this configuration.
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

// GracePeriod is how long a new primary waits for leases of earlier primaries of which
// it does not know. An earlier one may have granted until MaxQuorumContactAge after the
// election.
func (c Config) GracePeriod() time.Duration {
	return c.Duration + c.MaxQuorumContactAge + c.ClockDriftMargin
}
