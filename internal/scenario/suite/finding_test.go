package suite

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/deckpulley/deckpulley/internal/fleet"
	"github.com/deckpulley/deckpulley/internal/results"
	"github.com/deckpulley/deckpulley/internal/scenario"
)

// TestFindingNamesCauseAndCommandToRepeat checks that the finding of a scenario that could not
// be run contains the source, the seed, the cause and the command that repeats the run.
func TestFindingNamesCauseAndCommandToRepeat(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "run")
	failed := outcome{scenario: &scenario.Scenario{Name: "gateway-killed"}, folder: folder, err: errors.New("no port was free")}
	config := Config{Deployment: fleet.Deployment{Name: "georgia"}, Seed: 17}
	if err := config.writeFinding(failed, results.Build{Commit: "abc"}); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(folder, findingFile))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"commit: abc", "seed: 17", "--deployment georgia --scenario gateway-killed --seed 17", "no port was free"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the finding does not contain %q:\n%s", want, text)
		}
	}
}
