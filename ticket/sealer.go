package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"

	"github.com/deckpulley/deckpulley/internal/canonical"
)

const (
	// macBytes is the length of the message authentication code in bytes.
	macBytes = sha256.Size
	// macDomain is authenticated before the body, so that the authentication code of a
	// ticket is not valid for any other use of the fleet's keys.
	macDomain = "deckpulley ticket 1\x00"
)

var (
	encoding = canonical.Encoding()
	decoding = canonical.Decoding(canonical.Bounds{})
)

// Sealer encodes tickets as authenticated text and decodes them. The text is the
// base64url encoding of the ticket's canonical CBOR followed by the HMAC-SHA256 of that
// CBOR. A Sealer is immutable and safe for concurrent use.
type Sealer struct {
	keys [][]byte // newest first
}

// NewSealer returns a sealer for the keys, newest first. Seal uses the first key; Open
// accepts all of them. The error wraps ErrInvalidKeys.
func NewSealer(keys [][]byte) (*Sealer, error) {
	if len(keys) == 0 || len(keys) > MaxKeys {
		return nil, fmt.Errorf("%w: %d keys, want 1 to %d", ErrInvalidKeys, len(keys), MaxKeys)
	}
	for i, key := range keys {
		if len(key) < MinKeyBytes {
			return nil, fmt.Errorf("%w: key %d is shorter than %d bytes", ErrInvalidKeys, i+1, MinKeyBytes)
		}
	}
	return &Sealer{keys: keys}, nil
}

// Seal returns the text form of the ticket. The error is ErrMalformed if the ticket is
// not valid or its text form is too long.
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

// Open verifies the text form of a ticket and returns the ticket. It verifies the
// authentication code before it decodes the ticket. The error is ErrMalformed or
// ErrNotAuthentic.
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

// authentic reports whether code is the authentication code of the body under one of
// the keys.
func (s *Sealer) authentic(body, code []byte) bool {
	for _, key := range s.keys {
		if hmac.Equal(authenticationCode(key, body), code) {
			return true
		}
	}
	return false
}

// authenticationCode returns the HMAC-SHA256 of a ticket's body, in the domain of
// tickets.
func authenticationCode(key, body []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(macDomain))
	mac.Write(body)
	return mac.Sum(nil)
}
