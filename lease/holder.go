package lease

import (
	"errors"
	"time"
)

// Errors of Holder's methods. The caller must ignore the complete message then, not
// only the lease in it.
var (
	// ErrStaleTerm means that the message is of an older term than the newest known one.
	ErrStaleTerm = errors.New("lease: from an older term")
	// ErrOtherCluster means that the message is of another cluster than the first one.
	ErrOtherCluster = errors.New("lease: from another cluster")
	// ErrReleased means that the holder has released its lease for good.
	ErrReleased = errors.New("lease: released")
)

// Holder is a gateway's side. It is not safe for concurrent use.
type Holder struct {
	config   Config
	term     uint64
	cluster  string        // empty before the first message
	expiry   time.Duration // with hasLease only
	hasLease bool          // a lease was granted, expired or not
	released bool
}

// NewHolder returns a holder without a lease.
func NewHolder(config Config) *Holder {
	return &Holder{config: config}
}

// Observe checks the term and cluster of any message from a primary, and records them.
// It returns ErrOtherCluster or ErrStaleTerm.
func (h *Holder) Observe(term uint64, cluster string) error {
	if h.cluster != "" && cluster != h.cluster {
		return ErrOtherCluster
	}
	if term < h.term {
		return ErrStaleTerm
	}
	h.term = term
	if h.cluster == "" {
		h.cluster = cluster
	}
	return nil
}

// HandleGrant extends the lease by a grant for the renewal that was sent at the time
// sent: it is valid for duration from then on, at most for Config.Duration. A duration
// of 0, or a grant that would end earlier, leaves the lease as it is. It returns
// ErrReleased or an error of Observe.
func (h *Holder) HandleGrant(now, sent time.Duration, term uint64, cluster string, duration time.Duration) error {
	if h.released {
		return ErrReleased
	}
	if err := h.Observe(term, cluster); err != nil {
		return err
	}
	if duration <= 0 || sent > now {
		return nil
	}
	duration = min(duration, h.config.Duration)
	if expiry := sent + duration; !h.hasLease || expiry > h.expiry {
		h.expiry = expiry
		h.hasLease = true
	}
	return nil
}

// Release gives the lease up for good. Call it before the primary is sent the release:
// it may let others act as soon as it has received that.
func (h *Holder) Release() { h.released = true }

// Valid reports whether the holder may act on its active serial.
func (h *Holder) Valid(now time.Duration) bool {
	return h.hasLease && !h.released && now < h.expiry
}

// Remaining returns the time until the lease expires, 0 without a valid lease.
func (h *Holder) Remaining(now time.Duration) time.Duration {
	if !h.Valid(now) {
		return 0
	}
	return h.expiry - now
}

// Term returns the newest term observed, 0 before.
func (h *Holder) Term() uint64 { return h.term }

// Cluster returns the cluster of the first message observed, empty before.
func (h *Holder) Cluster() string { return h.cluster }
