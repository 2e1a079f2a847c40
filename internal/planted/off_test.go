//go:build !planted

package planted

import (
	"os"
	"os/exec"
	"testing"
)

// TestPlainBuildHasNoSwitch runs this test binary again with each name in the
// environment and looks for a defect that is active.
func TestPlainBuildHasNoSwitch(t *testing.T) {
	for _, defect := range All() {
		t.Run(string(defect), func(t *testing.T) {
			t.Parallel()
			again := exec.Command(os.Args[0], "-test.run=^TestNothingIsActive$", "-test.count=1")
			again.Env = append(os.Environ(), "DECKPULLEY_PLANTED_DEFECT="+string(defect))
			if output, err := again.CombinedOutput(); err != nil {
				t.Errorf("%v\n%s", err, output)
			}
		})
	}
}

func TestNothingIsActive(t *testing.T) {
	for _, defect := range All() {
		if Active(defect) {
			t.Errorf("%s is active", defect)
		}
	}
}
