// Package ticket ensures that a request that is not idempotent runs at most once. A
// ticket names its owner, the one gateway process that may run the request. The owner
// stores each ticket that it issued in a Table until the ticket can no longer start a
// run. The package performs no I/O and reads no clock: callers pass the owner's
// monotonic time.
package ticket

import (
	"errors"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

const (
	// MaxEncodedBytes is the maximum length of the text form of a ticket. A longer text
	// is rejected without being decoded.
	MaxEncodedBytes = 1024
	// MinKeyBytes is the minimum length of a key.
	MinKeyBytes = 16
	// MaxKeys is the maximum number of keys of a Sealer. Two are enough for a key
	// rotation; the maximum is that of the fleet's key file.
	MaxKeys = 8
)

// Errors of Sealer.Open and NewSealer.
var (
	// ErrMalformed means that the text is not an encoded ticket, or that the ticket's
	// fields or its text form exceed their limits.
	ErrMalformed = errors.New("ticket: malformed")
	// ErrNotAuthentic means that the ticket was not sealed with a key of the Sealer.
	ErrNotAuthentic = errors.New("ticket: not authentic")
	// ErrInvalidKeys means that there are no keys or too many, or that a key is too
	// short.
	ErrInvalidKeys = errors.New("ticket: invalid keys")
)

// Ticket permits one gateway process, its owner, to run one request.
type Ticket struct {
	// RequestID identifies the request.
	RequestID string `cbor:"1,keyasint"`
	// Owner is the name of the gateway that issued the ticket and may run the
	// request.
	Owner string `cbor:"2,keyasint"`
	// Incarnation identifies the owner's process. It changes when the owner restarts;
	// the new process does not have the ticket in its table.
	Incarnation string `cbor:"3,keyasint"`
	// HomeRule is the name of the request's home rule; empty if it has none.
	HomeRule string `cbor:"4,keyasint,omitempty"`
	// Idempotent is set if the caller declared the request safe to repeat.
	Idempotent bool `cbor:"5,keyasint,omitempty"`
	// IssuedAt is the time of issue on the owner's monotonic clock.
	IssuedAt time.Duration `cbor:"6,keyasint"`
	// Expires is the time on the owner's monotonic clock from which on the ticket can
	// no longer start a run.
	Expires time.Duration `cbor:"7,keyasint"`
}

// Validate returns ErrMalformed if a required field is empty, a field exceeds its
// limit or the times are inconsistent.
func (t *Ticket) Validate() error {
	required := []string{t.RequestID, t.Owner, t.Incarnation}
	for _, name := range required {
		if name == "" || len(name) > api.MaxNameBytes {
			return ErrMalformed
		}
	}
	if len(t.HomeRule) > api.MaxNameBytes {
		return ErrMalformed
	}
	if t.IssuedAt < 0 || t.Expires <= t.IssuedAt {
		return ErrMalformed
	}
	return nil
}
