package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/deckpulley/deckpulley/internal/results"
	"github.com/deckpulley/deckpulley/internal/scenario"
)

// TestAFindingSaysHowToPlayItAgain: whatever kept a scenario from being good, the run
// folder names sources, seed and command.
func TestAFindingSaysHowToPlayItAgain(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "run")
	of := outcome{scenario: &scenario.Scenario{Name: "gateway-killed"}, folder: folder, err: errors.New("no port was free")}
	flags := common{deployment: "georgia", seed: 17}
	if err := writeFinding(of, flags, results.Build{Commit: "abc"}); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(folder, findingFile))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"commit: abc", "seed: 17", "--deployment georgia --scenario gateway-killed --seed 17", "no port was free"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the finding does not say %q:\n%s", want, text)
		}
	}
}
