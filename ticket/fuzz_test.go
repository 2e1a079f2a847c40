package ticket

import (
	"bytes"
	"errors"
	"testing"
)

// FuzzOpen verifies that Open rejects any text that was not sealed with a key of the
// sealer, also a ticket sealed with another key.
func FuzzOpen(f *testing.F) {
	foreign, err := NewSealer([][]byte{bytes.Repeat([]byte{1}, 32)})
	if err != nil {
		f.Fatal(err)
	}
	sealed, err := foreign.Seal(Ticket{RequestID: "r", Owner: "g", Incarnation: "i", Expires: 1})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sealed)
	f.Add("AAAA")
	f.Add("")
	sealer, err := NewSealer([][]byte{bytes.Repeat([]byte{2}, 32), bytes.Repeat([]byte{3}, 32)})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, err := sealer.Open(text)
		if !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrNotAuthentic) {
			t.Fatalf("Open(%q): got error %v, want ErrMalformed or ErrNotAuthentic", text, err)
		}
	})
}
