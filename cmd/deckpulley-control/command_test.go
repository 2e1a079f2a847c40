package main

import (
	"os"
	"path/filepath"
	"testing"
)

// TestExitStatuses checks the exit statuses of command lines that return before a
// node is started.
func TestExitStatuses(t *testing.T) {
	folder := t.TempDir()
	incomplete := filepath.Join(folder, "incomplete.yaml")
	if err := os.WriteFile(incomplete, []byte("name: control-1\nrole: control\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name      string
		arguments []string
		want      int
	}{
		{"help", []string{"--help"}, exitSuccess},
		{"unexpected argument", []string{"start"}, exitUsage},
		{"unknown flag", []string{"--unknown"}, exitUsage},
		{"no settings", nil, exitUsage},
		{"missing settings file", []string{"--settings", filepath.Join(folder, "missing.yaml")}, exitUsage},
		{"incomplete settings", []string{"--settings", incomplete}, exitUsage},
		{"unconfirmed recovery", []string{"recover", "--settings", incomplete}, exitUsage},
		{"recovery with incomplete settings", []string{"recover", "--settings", incomplete, "--" + confirmFlag}, exitUsage},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			command := newCommand()
			command.SetArgs(c.arguments)
			if c.arguments == nil {
				command.SetArgs([]string{}) // cobra reads os.Args if the arguments are nil
			}
			if got := execute(command); got != c.want {
				t.Errorf("exit status %d, want %d", got, c.want)
			}
		})
	}
}
