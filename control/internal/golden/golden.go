// Package golden compares encoded values with golden files. These are hexadecimal files
// in testdata that an earlier version wrote. Every later version must read and write the
// same bytes.
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

var update = flag.Bool("update-golden", false, "rewrite the golden files of this package")

// Read returns the decoded content of a golden file.
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

// Compare fails the test unless the encoded bytes equal the content of the golden file,
// which it returns. With -update-golden it first overwrites the file with them.
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
