package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"

	"github.com/deckpulley/deckpulley/internal/canonical"
)

const (
	// macBytes is the size of the message authentication code in bytes.
	macBytes = sha256.Size
	// macDomain separates the codes of tickets from those of every other use of
	// the fleet's keys.
	macDomain = "deckpulley ticket 1\x00"
)

var (
	encoding = canonical.Encoding()
	decoding = canonical.Decoding(canonical.Bounds{})
)

// Sealer encodes tickets as authenticated text and decodes them. The text is the
// base64url form of the ticket's canonical CBOR followed by its HMAC-SHA256.
// A Sealer is immutable and safe for concurrent use.
type Sealer struct {
	keys [][]byte // newest first
}

// NewSealer returns a sealer for the keys, newest first: the first one seals, all
// of them open. The error wraps ErrKeys.
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

// Seal returns the text form of the ticket. The error is ErrMalformed if the ticket
// is not valid or its text too long.
func (s *Sealer) Seal(t Ticket) (string, error) {
	if err := t.Validate(); err != nil {
		return "", err
	}
	sealed, err := encoding.Marshal(&t)
	if err != nil {
		return "", fmt.Errorf("ticket: encoding: %w", err)
	}
	sealed = append(sealed, authenticationCode(s.keys[0], sealed)...)
	if base64.RawURLEncoding.EncodedLen(len(sealed)) > MaxEncodedBytes {
		return "", ErrMalformed
	}
	return base64.RawURLEncoding.EncodeToString(sealed), nil
}

// Open verifies the text form of a ticket and returns the ticket. The error is
// ErrMalformed or ErrNotAuthentic. The code is verified before the ticket is
// decoded.
func (s *Sealer) Open(text string) (Ticket, error) {
	if text == "" || len(text) > MaxEncodedBytes {
		return Ticket{}, ErrMalformed
	}
	sealed, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(sealed) <= macBytes {
		return Ticket{}, ErrMalformed
	}
	body, code := sealed[:len(sealed)-macBytes], sealed[len(sealed)-macBytes:]
	if !s.authentic(body, code) {
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

// authentic reports whether an accepted key made the code of the body.
func (s *Sealer) authentic(body, code []byte) bool {
	for _, key := range s.keys {
		if hmac.Equal(authenticationCode(key, body), code) {
			return true
		}
	}
	return false
}

// authenticationCode returns the HMAC-SHA256 of a ticket's body.
func authenticationCode(key, body []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(macDomain))
	mac.Write(body)
	return mac.Sum(nil)
}
