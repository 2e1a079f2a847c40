//go:build planted

package planted

import (
	"fmt"
	"os"
	"slices"
)

// Variable is the environment variable that names the one enabled failpoint.
const Variable = "DECKPULLEY_PLANTED_DEFECT"

// active is the enabled failpoint, empty for none. It is read once, when the process
// starts.
var active = activeFromEnvironment()

// activeFromEnvironment returns the failpoint that Variable names. It ends the process
// if the name is unknown: otherwise a run for a misspelled failpoint would not test it.
func activeFromEnvironment() Defect {
	name := Defect(os.Getenv(Variable))
	if name != "" && !slices.Contains(All(), name) {
		fmt.Fprintf(os.Stderr, "%s: unknown defect %q\n", Variable, name)
		os.Exit(2)
	}
	return name
}

// Active reports whether the failpoint is enabled.
func Active(defect Defect) bool { return active == defect }
