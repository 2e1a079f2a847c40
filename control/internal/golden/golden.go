// Package golden compares encoded forms with golden files. These are hexadecimal, in
// testdata, and were made by an earlier version: every later version must read and
// write the same bytes.
package golden

import (
	"bytes"
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update-golden", false, "write the golden files of this package anew")

// Read returns the content of a golden file.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(path(name))
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

// Compare reports an error unless the encoded form is that of a golden file, whose
// content it returns. With -update-golden it writes the file before.
func Compare(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	if *update {
		if err := os.WriteFile(path(name), []byte(hex.EncodeToString(encoded)+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	golden := Read(t, name)
	if !bytes.Equal(encoded, golden) {
		t.Errorf("%s: encoded as\n%x, want\n%x", name, encoded, golden)
	}
	return golden
}

func path(name string) string { return filepath.Join("testdata", name+".hex") }
