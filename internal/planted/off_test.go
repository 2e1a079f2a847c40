//go:build !planted

package planted

import (
	"os"
	"os/exec"
	"testing"
)

// TestVariableIsIgnoredWithoutBuildTag runs this test binary again with each failpoint
// named in the environment and checks that none is enabled.
func TestVariableIsIgnoredWithoutBuildTag(t *testing.T) {
	for _, defect := range All() {
		t.Run(string(defect), func(t *testing.T) {
			t.Parallel()
			rerun := exec.Command(os.Args[0], "-test.run=^TestNothingIsActive$", "-test.count=1")
			rerun.Env = append(os.Environ(), "DECKPULLEY_PLANTED_DEFECT="+string(defect))
			if output, err := rerun.CombinedOutput(); err != nil {
				t.Errorf("%v\n%s", err, output)
			}
		})
	}
}

func TestNothingIsActive(t *testing.T) {
	for _, defect := range All() {
		if Active(defect) {
			t.Errorf("failpoint %s is enabled, want none", defect)
		}
	}
}
