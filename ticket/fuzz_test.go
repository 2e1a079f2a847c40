package ticket

import "testing"

// FuzzOpen gives the sealer arbitrary texts. Only one that it sealed opens, and
// it has one form.
func FuzzOpen(f *testing.F) {
	sealer, err := NewSealer([][]byte{testKey(1)})
	if err != nil {
		f.Fatal(err)
	}
	text, err := sealer.Seal(testTicket())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add(text[:len(text)-1])
	f.Add("")
	f.Fuzz(func(t *testing.T, given string) {
		opened, err := sealer.Open(given)
		if err == nil && (given != text || opened != testTicket()) {
			t.Fatalf("opened %q: %+v", given, opened)
		}
	})
}
