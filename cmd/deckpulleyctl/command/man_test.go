package command

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// TestManPages checks that the man command writes pages for visible commands.
func TestManPages(t *testing.T) {
	line := newCommandLine(t)
	if status, _, errorOutput := line.run("man", line.folder); status != exitSuccess {
		t.Fatal(errorOutput)
	}
	for _, page := range []string{"deckpulleyctl.1", "deckpulleyctl-config-history.1", "deckpulleyctl-route-explain.1", "deckpulleyctl-top.1", "deckpulleyctl-recover.1"} {
		if text, err := os.ReadFile(filepath.Join(line.folder, page)); err != nil || !bytes.Contains(text, []byte("deckpulleyctl")) {
			t.Errorf("%s: %v", page, err)
		}
	}
}
