// Package ticket makes sure that a request that is not idempotent runs at most
// once. A ticket names its owner, the one gateway process that may run the
// request. The owner keeps each ticket that it issued in a Table until the ticket
// can no longer be used. The package does no I/O and reads no clock: the owner's
// monotonic time is an input.
package ticket

import (
	"errors"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

const (
	// MaxEncodedBytes is the maximum size of a sealed ticket; a longer text is
	// rejected without decoding it.
	MaxEncodedBytes = 1024
	// MinKeyBytes is the minimum size of a key.
	MinKeyBytes = 16
	// MaxKeys is the maximum number of keys that are valid at once. Two suffice for
	// a key rotation; the bound is that of the fleet's key file.
	MaxKeys = 8
)

// Errors of Sealer.Open and NewSealer.
var (
	// ErrMalformed means that the text is not a ticket at all.
	ErrMalformed = errors.New("ticket: malformed")
	// ErrNotAuthentic means that the ticket was not sealed with an accepted key.
	ErrNotAuthentic = errors.New("ticket: not authentic")
	// ErrKeys means that there are too few, too many or too short keys.
	ErrKeys = errors.New("ticket: unusable keys")
)

// Ticket is the right to run one request at one gateway process.
type Ticket struct {
	// RequestID identifies the request.
	RequestID string `cbor:"1,keyasint"`
	// Owner is the name of the gateway that issued the ticket and may run the
	// request.
	Owner string `cbor:"2,keyasint"`
	// Incarnation identifies the owner's process. A restarted owner has another one
	// and does not know the ticket.
	Incarnation string `cbor:"3,keyasint"`
	// HomeRule is the home rule of the request; empty if it has none.
	HomeRule string `cbor:"4,keyasint,omitempty"`
	// Idempotent is set if the caller declared the request safe to repeat.
	Idempotent bool `cbor:"5,keyasint,omitempty"`
	// IssuedAt is the time of issue on the owner's monotonic clock.
	IssuedAt time.Duration `cbor:"6,keyasint"`
	// Expires is the time on the owner's monotonic clock from which the ticket
	// cannot start a run.
	Expires time.Duration `cbor:"7,keyasint"`
}

// Validate returns ErrMalformed unless the ticket's fields are within their
// limits.
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
