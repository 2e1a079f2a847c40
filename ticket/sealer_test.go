package ticket

import (
	"bytes"
	"encoding/base64"
	"errors"
	"strings"
	"testing"
	"time"
)

func testKey(fill byte) []byte { return bytes.Repeat([]byte{fill}, 32) }

func testTicket() Ticket {
	return Ticket{RequestID: "r1", Owner: "gateway-1", Incarnation: "abc", HomeRule: "eu", IssuedAt: 1, Expires: time.Minute}
}

func newTestSealer(t *testing.T, keys ...[]byte) *Sealer {
	t.Helper()
	sealer, err := NewSealer(keys)
	if err != nil {
		t.Fatal(err)
	}
	return sealer
}

func sealTicket(t *testing.T, sealer *Sealer, ticket Ticket) string {
	t.Helper()
	text, err := sealer.Seal(ticket)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// TestOpenAcceptsEveryKey verifies that a sealer opens tickets that were sealed with any
// of its keys, as during a key rotation, and rejects those of a key it does not have.
func TestOpenAcceptsEveryKey(t *testing.T) {
	older := newTestSealer(t, testKey(1))
	newer := newTestSealer(t, testKey(2), testKey(1))
	text := sealTicket(t, older, testTicket())
	if got, err := newer.Open(text); err != nil || got != testTicket() {
		t.Fatalf("ticket sealed with the second key: got %+v, error %v", got, err)
	}
	text = sealTicket(t, newer, testTicket())
	if _, err := older.Open(text); !errors.Is(err, ErrNotAuthentic) {
		t.Fatalf("ticket sealed with an unknown key: got error %v, want ErrNotAuthentic", err)
	}
}

func TestOpenRejectsChangedBytes(t *testing.T) {
	newer := newTestSealer(t, testKey(2), testKey(1))
	text := sealTicket(t, newTestSealer(t, testKey(1)), testTicket())
	sealed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		t.Fatal(err)
	}
	for i := range sealed {
		changed := bytes.Clone(sealed)
		changed[i] ^= 0x10
		if _, err := newer.Open(base64.RawURLEncoding.EncodeToString(changed)); !errors.Is(err, ErrNotAuthentic) {
			t.Fatalf("ticket with byte %d changed: got error %v, want ErrNotAuthentic", i, err)
		}
	}
}

func TestOpenRejectsMalformedText(t *testing.T) {
	newer := newTestSealer(t, testKey(2), testKey(1))
	text := sealTicket(t, newTestSealer(t, testKey(1)), testTicket())
	for _, malformed := range []string{"", "!", text[:10], text + "=", strings.Repeat("A", MaxEncodedBytes+1)} {
		if _, err := newer.Open(malformed); err == nil {
			t.Fatalf("Open accepted malformed text %.20q", malformed)
		}
	}
}

func TestSealRejectsLongRequestID(t *testing.T) {
	ticket := testTicket()
	ticket.RequestID = strings.Repeat("x", 129)
	if _, err := newTestSealer(t, testKey(1)).Seal(ticket); !errors.Is(err, ErrMalformed) {
		t.Fatalf("ticket with a request ID that is too long: got error %v, want ErrMalformed", err)
	}
}

// TestNewSealerRejectsInvalidKeys covers no key, a key that is too short and too many
// keys.
func TestNewSealerRejectsInvalidKeys(t *testing.T) {
	var tooMany [][]byte
	for i := range MaxKeys + 1 {
		tooMany = append(tooMany, testKey(byte(i)))
	}
	for _, keys := range [][][]byte{nil, {testKey(1)[:8]}, tooMany} {
		if _, err := NewSealer(keys); !errors.Is(err, ErrInvalidKeys) {
			t.Fatalf("%d keys: got error %v, want ErrInvalidKeys", len(keys), err)
		}
	}
}
