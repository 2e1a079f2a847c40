//go:build planted

package planted

import (
	"fmt"
	"os"
	"slices"
)

// Variable is the environment variable that names the one active defect.
const Variable = "DECKPULLEY_PLANTED_DEFECT"

// active is read once, at the start of the process. A name that there is not
// ends the process, so that no run passes for want of its defect.
var active = read()

func read() Defect {
	name := Defect(os.Getenv(Variable))
	if name != "" && !slices.Contains(All(), name) {
		fmt.Fprintf(os.Stderr, "%s: no defect is named %q\n", Variable, name)
		os.Exit(2)
	}
	return name
}

// Active tells whether the defect is switched on.
func Active(defect Defect) bool { return active == defect }
