package process

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

func startShell(t *testing.T, arguments ...string) *Process {
	t.Helper()
	p, err := Start(Command{Name: "shell", Path: "/bin/sh", Arguments: arguments, LogPath: filepath.Join(t.TempDir(), "log")})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Kill() })
	return p
}

// waitForOutput waits until the process has written to its log, which shows that it is
// running.
func waitForOutput(t *testing.T, logPath string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; {
		if text, _ := os.ReadFile(logPath); len(text) > 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the process wrote no output within 10 s")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestStopTerminatesGracefullyOrKills(t *testing.T) {
	tests := []struct {
		name     string
		script   string
		freeze   bool
		graceful bool
	}{
		{"handles the signal", "trap 'exit 0' TERM; echo ready; while :; do sleep 0.01; done", false, true},
		{"ignores the signal", "trap '' TERM; echo ready; while :; do sleep 0.01; done", false, false},
		{"is frozen", "echo ready; while :; do sleep 0.01; done", true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			logPath := filepath.Join(t.TempDir(), "log")
			p, err := Start(Command{Name: test.name, Path: "/bin/sh", Arguments: []string{"-c", test.script}, LogPath: logPath})
			if err != nil {
				t.Fatal(err)
			}
			defer p.Kill()
			waitForOutput(t, logPath)
			if test.freeze {
				if err := p.Freeze(); err != nil {
					t.Fatal(err)
				}
			}
			timeout := 10 * time.Second
			if !test.graceful {
				timeout = 50 * time.Millisecond
			}
			graceful, err := p.Stop(timeout)
			if err != nil || graceful != test.graceful || p.Running() {
				t.Errorf("graceful %v, error %v, running %v", graceful, err, p.Running())
			}
		})
	}
}

func TestReadUsageReportsMemory(t *testing.T) {
	p := startShell(t, "-c", "while :; do sleep 1; done")
	usage, err := p.ReadUsage()
	if err != nil || usage.Resident == 0 {
		t.Errorf("usage %+v, error %v; want resident memory above 0", usage, err)
	}
}

func TestStartOfMissingProgramFails(t *testing.T) {
	if _, err := Start(Command{Name: "absent", Path: "/nonexistent/program", LogPath: filepath.Join(t.TempDir(), "log")}); err == nil {
		t.Error("starting a missing program returned no error")
	}
}

func TestEndedBy(t *testing.T) {
	started, err := Start(Command{Name: "sleep", Path: "/bin/sleep", Arguments: []string{"60"}, LogPath: filepath.Join(t.TempDir(), "log.txt")})
	if err != nil {
		t.Fatal(err)
	}
	if started.EndedBy(syscall.SIGHUP) {
		t.Error("a running process was ended by a signal")
	}
	if err := started.HangUp(); err != nil {
		t.Fatal(err)
	}
	<-started.Exited()
	if !started.EndedBy(syscall.SIGHUP) || started.EndedBy(syscall.SIGKILL) {
		t.Errorf("the process ended with %v, want SIGHUP", started.ExitError())
	}
}
