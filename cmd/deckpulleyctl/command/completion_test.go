package command

import (
	"bytes"
	"strings"
	"testing"
)

func TestNameCompletion(t *testing.T) {
	line := newCommandLine(t)
	t.Setenv(environmentAddress, line.address)
	for typed, want := range map[string]string{
		"zone evacuate n":       "north-1\n",
		"replicas drain r1 r":   "r2\n",
		"zone restore north-1 ": "",
	} {
		var output, errorOutput bytes.Buffer
		Run(append([]string{"__completeNoDesc"}, strings.Split(typed, " ")...), &output, &errorOutput)
		if got, _, _ := strings.Cut(output.String(), ":"); got != want {
			t.Errorf("completing %q: got %q", typed, got)
		}
	}
}

func TestCompletionScripts(t *testing.T) {
	line := newCommandLine(t)
	for _, shell := range []string{"bash", "zsh", "fish"} {
		if status, output, _ := line.run("completion", shell); status != exitSuccess || !strings.Contains(output, "deckpulleyctl") {
			t.Errorf("completion script for %s: exit status %d", shell, status)
		}
	}
}
