package lease

import (
	"errors"
	"time"
)

// Reasons for dropping what a primary says. The whole message is to be dropped.
var (
	ErrStaleTerm    = errors.New("lease: from an older term")
	ErrOtherCluster = errors.New("lease: from another cluster")
	ErrReleased     = errors.New("lease: given up")
)

// Holder is a gateway's side. It is not safe for concurrent use.
type Holder struct {
	terms   Config
	term    uint64
	cluster string
	until   time.Duration
	held    bool // until means something
	left    bool
}

// NewHolder returns a holder without a lease.
func NewHolder(terms Config) *Holder {
	return &Holder{terms: terms}
}

// Observe judges the term and cluster of any message from a primary and
// remembers the newest term.
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

// HandleGrant takes a grant for the renewal that was sent at the time sent. A length
// of zero leaves the lease as it is. On an error the grant is to be dropped whole.
func (h *Holder) HandleGrant(now, sent time.Duration, term uint64, cluster string, length time.Duration) error {
	if h.left {
		return ErrReleased
	}
	if err := h.Observe(term, cluster); err != nil {
		return err
	}
	if length <= 0 || sent > now {
		return nil
	}
	length = min(length, h.terms.Duration)
	if until := sent + length; !h.held || until > h.until {
		h.until = until
		h.held = true
	}
	return nil
}

// Release gives the lease up for good. Call it before telling the primary.
func (h *Holder) Release() { h.left = true }

// Valid says whether the lease is in force.
func (h *Holder) Valid(now time.Duration) bool {
	return h.held && !h.left && now < h.until
}

// Remaining returns the time left, zero without a valid lease.
func (h *Holder) Remaining(now time.Duration) time.Duration {
	if !h.Valid(now) {
		return 0
	}
	return h.until - now
}

// Term returns the newest term seen.
func (h *Holder) Term() uint64 { return h.term }

// Cluster returns the cluster of the first accepted message, empty before.
func (h *Holder) Cluster() string { return h.cluster }
