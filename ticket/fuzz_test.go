package ticket

import (
	"bytes"
	"errors"
	"testing"
)

// FuzzOpen feeds text to Open under a key that sealed none of it.
func FuzzOpen(f *testing.F) {
	stranger, err := NewSealer([][]byte{bytes.Repeat([]byte{1}, 32)})
	if err != nil {
		f.Fatal(err)
	}
	sealed, err := stranger.Seal(Ticket{RequestID: "r", Owner: "g", Incarnation: "i", Expires: 1})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sealed)
	f.Add("AAAA")
	f.Add("")
	own, err := NewSealer([][]byte{bytes.Repeat([]byte{2}, 32), bytes.Repeat([]byte{3}, 32)})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, err := own.Open(text)
		if !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrNotAuthentic) {
			t.Fatalf("opened %q: %v", text, err)
		}
	})
}
