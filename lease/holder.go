package lease

import (
	"errors"
	"time"
)

// Errors of Holder's methods. After any of them the caller must ignore the whole message,
// not only the lease in it.
var (
	// ErrStaleTerm means that the message has an older term than the newest observed one.
	ErrStaleTerm = errors.New("lease: message is from an older term")
	// ErrOtherCluster means that the message is from another cluster than the first message.
	ErrOtherCluster = errors.New("lease: message is from another cluster")
	// ErrReleased means that the holder has released its lease and accepts no other one.
	ErrReleased = errors.New("lease: lease has been released")
)

// Holder has the lease of a gateway. It is not safe for concurrent use.
type Holder struct {
	config   Config
	term     uint64
	cluster  string        // cluster of the first message, empty before it
	expiry   time.Duration // only valid if hasLease
	hasLease bool          // a lease has been granted; it may have expired
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

// HandleGrant processes a grant in reply to the renewal that the holder sent at the time
// sent. The lease is then valid until duration after sent, but at most until
// Config.Duration after sent. A duration of 0, or one that would end the lease earlier,
// leaves the lease unchanged. HandleGrant returns ErrReleased or an error of Observe.
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

// Release ends the lease permanently. Call it before sending the release to the primary,
// which may stop waiting for this holder as soon as it has received the release.
func (h *Holder) Release() { h.released = true }

// Valid reports whether the holder may act on its active serial.
func (h *Holder) Valid(now time.Duration) bool {
	return h.hasLease && !h.released && now < h.expiry
}

// Remaining returns the time until the lease expires, or 0 without a valid lease.
func (h *Holder) Remaining(now time.Duration) time.Duration {
	if !h.Valid(now) {
		return 0
	}
	return h.expiry - now
}

// Term returns the newest term observed, or 0 before the first message.
func (h *Holder) Term() uint64 { return h.term }

// Cluster returns the cluster of the first message, or an empty string before it.
func (h *Holder) Cluster() string { return h.cluster }
