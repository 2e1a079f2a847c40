package startsignal

import (
	"errors"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
)

// runsPerProgram is the number of starts of each program.
const runsPerProgram = 5

// TestHangUpAtStart guards against a program that a SIGHUP ends some milliseconds after
// its start, before package main has asked for the signal. The signal is sent when the Go
// runtime reports its first initialization.
func TestHangUpAtStart(t *testing.T) {
	// This test's process ignores the signal too, and a child would inherit that; it does
	// not inherit a handler.
	handled := make(chan os.Signal, 1)
	signal.Notify(handled, syscall.SIGHUP)
	t.Cleanup(func() { signal.Stop(handled) })
	folder := t.TempDir()
	for program, argument := range map[string]string{
		"deckpulley-platform": "gateway",
		"deckpulley-control":  "--config=/nonexistent",
		"deckpulley-gateway":  "--config=/nonexistent",
	} {
		t.Run(program, func(t *testing.T) {
			binary := filepath.Join(folder, program)
			build := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../../cmd/"+program)
			if output, err := build.CombinedOutput(); err != nil {
				t.Fatalf("building %s: %v\n%s", program, err, output)
			}
			for range runsPerProgram {
				hangUpAtStart(t, binary, argument)
			}
		})
	}
}

// hangUpAtStart starts a program without settings, which exits with a usage error, and
// checks that a SIGHUP before that does not end it.
func hangUpAtStart(t *testing.T, binary, argument string) {
	t.Helper()
	command := exec.CommandContext(t.Context(), binary, argument)
	command.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	output, err := command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(output, make([]byte, 1)); err != nil {
		t.Fatalf("the runtime reported nothing: %v", err)
	}
	if err := command.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, output)
	var exit *exec.ExitError
	if err := command.Wait(); !errors.As(err, &exit) || exit.ExitCode() < 0 {
		t.Errorf("%s ended with %v, want an exit with an error of usage", filepath.Base(binary), err)
	}
}
