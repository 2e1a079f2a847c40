//go:build planted

package planted

import (
	"os"
	"os/exec"
	"testing"
)

const wantedVariable = "PLANTED_TEST_WANTED"

// TestVariableSwitchesOneDefectOn runs this test binary again for each name.
func TestVariableSwitchesOneDefectOn(t *testing.T) {
	for _, defect := range append(All(), "") {
		if output, err := runAgain(defect).CombinedOutput(); err != nil {
			t.Errorf("%q: %v\n%s", defect, err, output)
		}
	}
	if err := runAgain("no-such-defect").Run(); err == nil {
		t.Error("a name that there is not was accepted")
	}
}

func runAgain(defect Defect) *exec.Cmd {
	again := exec.Command(os.Args[0], "-test.run=^TestWantedIsActive$", "-test.count=1")
	again.Env = append(os.Environ(), Variable+"="+string(defect), wantedVariable+"="+string(defect))
	return again
}

func TestWantedIsActive(t *testing.T) {
	wanted := Defect(os.Getenv(wantedVariable))
	for _, defect := range All() {
		if Active(defect) != (defect == wanted) {
			t.Errorf("%s: active is %t", defect, Active(defect))
		}
	}
}
