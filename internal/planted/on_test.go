//go:build planted

package planted

import (
	"os"
	"os/exec"
	"testing"
)

// wantedVariable is the environment variable that names the failpoint which
// TestWantedIsActive expects to be enabled, empty for none.
const wantedVariable = "PLANTED_TEST_WANTED"

// TestVariableEnablesOneFailpoint runs this test binary again with each failpoint, and
// with none, named in the environment. An unknown name must end the process.
func TestVariableEnablesOneFailpoint(t *testing.T) {
	for _, defect := range append(All(), "") {
		if output, err := rerun(defect).CombinedOutput(); err != nil {
			t.Errorf("failpoint %q: %v\n%s", defect, err, output)
		}
	}
	if err := rerun("no-such-defect").Run(); err == nil {
		t.Error("unknown failpoint name was accepted")
	}
}

// rerun returns the command that runs this test binary again with a failpoint named in the
// environment.
func rerun(defect Defect) *exec.Cmd {
	command := exec.Command(os.Args[0], "-test.run=^TestWantedIsActive$", "-test.count=1")
	command.Env = append(os.Environ(), Variable+"="+string(defect), wantedVariable+"="+string(defect))
	return command
}

func TestWantedIsActive(t *testing.T) {
	wanted := Defect(os.Getenv(wantedVariable))
	for _, defect := range All() {
		if Active(defect) != (defect == wanted) {
			t.Errorf("Active(%s) = %t", defect, Active(defect))
		}
	}
}
