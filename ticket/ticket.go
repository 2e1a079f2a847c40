// Package ticket makes a request that cannot safely be repeated run at most
// once. A ticket names the one gateway process that may run the request; that
// process remembers every ticket it issued in a Ledger until the ticket can no
// longer be used. The package does no I/O and reads no clock: the owner's
// monotonic time is passed in.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/canonical"
)

// Sizes of a ticket, in bytes.
const (
	// MaxEncodedBytes bounds the text form; a longer one is not looked at.
	MaxEncodedBytes = 1024
	macBytes        = sha256.Size
	// MinKeyBytes is the shortest key accepted.
	MinKeyBytes = 16
	// MaxKeys is the number of keys that may be valid at once. Two suffice for a
	// change of keys; the bound is that of the fleet's key file.
	MaxKeys = 8
)

// macDomain keeps ticket codes apart from every other use of the fleet's keys.
const macDomain = "deckpulley ticket 1\x00"

// Errors of Open and NewSealer.
var (
	// ErrMalformed means that the text is not a ticket at all.
	ErrMalformed = errors.New("ticket: malformed")
	// ErrNotAuthentic means that no accepted key made the ticket.
	ErrNotAuthentic = errors.New("ticket: not authentic")
	// ErrKeys means that the set of keys cannot be used.
	ErrKeys = errors.New("ticket: unusable keys")
)

// Ticket is the right to run one request at one gateway process.
type Ticket struct {
	RequestID string `cbor:"1,keyasint"`
	// Owner is the name of the gateway that remembers the ticket.
	Owner string `cbor:"2,keyasint"`
	// Incarnation is the owner's process; another one knows nothing of the ticket.
	Incarnation string `cbor:"3,keyasint"`
	// HomeRule is the home rule the request was asked with; empty is none.
	HomeRule string `cbor:"4,keyasint,omitempty"`
	// Idempotent is what the caller said of the request.
	Idempotent bool `cbor:"5,keyasint,omitempty"`
	// IssuedAt and Expires are on the owner's monotonic clock, in nanoseconds.
	IssuedAt time.Duration `cbor:"6,keyasint"`
	Expires  time.Duration `cbor:"7,keyasint"`
}

// Validate tells whether the ticket's fields are within their limits.
func (t *Ticket) Validate() error {
	names := []string{t.RequestID, t.Owner, t.Incarnation}
	for _, name := range names {
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

var (
	encoding = canonical.Encoding()
	decoding = canonical.Decoding(canonical.Bounds{})
)

// Sealer turns tickets into authenticated text and back. It is immutable and
// safe for concurrent use.
type Sealer struct {
	keys [][]byte
}

// NewSealer uses the keys, newest first: the first one seals, all open.
func NewSealer(keys [][]byte) (*Sealer, error) {
	if len(keys) == 0 || len(keys) > MaxKeys {
		return nil, fmt.Errorf("%w: %d keys, want 1 to %d", ErrKeys, len(keys), MaxKeys)
	}
	for i, key := range keys {
		if len(key) < MinKeyBytes {
			return nil, fmt.Errorf("%w: key %d is shorter than %d bytes", ErrKeys, i+1, MinKeyBytes)
		}
	}
	return &Sealer{keys: keys}, nil
}

// Seal returns the text form of the ticket.
func (s *Sealer) Seal(t Ticket) (string, error) {
	if err := t.Validate(); err != nil {
		return "", err
	}
	token, err := encoding.Marshal(&t)
	if err != nil {
		return "", fmt.Errorf("ticket: encoding: %w", err)
	}
	token = append(token, code(s.keys[0], token)...)
	if base64.RawURLEncoding.EncodedLen(len(token)) > MaxEncodedBytes {
		return "", ErrMalformed
	}
	return base64.RawURLEncoding.EncodeToString(token), nil
}

// Open checks the text and returns the ticket in it. The error is ErrMalformed
// or ErrNotAuthentic.
func (s *Sealer) Open(text string) (Ticket, error) {
	if text == "" || len(text) > MaxEncodedBytes {
		return Ticket{}, ErrMalformed
	}
	sealed, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(sealed) <= macBytes {
		return Ticket{}, ErrMalformed
	}
	body := sealed[:len(sealed)-macBytes]
	if !s.authentic(body, sealed[len(body):]) {
		return Ticket{}, ErrNotAuthentic
	}
	var t Ticket
	if err := decoding.Unmarshal(body, &t); err != nil {
		return Ticket{}, ErrMalformed
	}
	if err := t.Validate(); err != nil {
		return Ticket{}, err
	}
	return t, nil
}

func (s *Sealer) authentic(body, given []byte) bool {
	for _, key := range s.keys {
		if hmac.Equal(code(key, body), given) {
			return true
		}
	}
	return false
}

func code(key, body []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(macDomain))
	mac.Write(body)
	return mac.Sum(nil)
}
