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

// TestFindingNamesCauseAndCommandToRepeat holds that, whatever kept a scenario from
// being good, the run folder names source, seed, cause and command.
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
			t.Errorf("the finding does not say %q:\n%s", want, text)
		}
	}
}
