package process

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

func start(t *testing.T, arguments ...string) *Process {
	t.Helper()
	p, err := Start(Command{Name: "shell", Path: "/bin/sh", Arguments: arguments, LogPath: filepath.Join(t.TempDir(), "log")})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Kill() })
	return p
}

func TestStopEndsByItselfOrByForce(t *testing.T) {
	tests := []struct {
		name   string
		script string
		freeze bool
		gentle bool
	}{
		{"obeys", "trap 'exit 0' TERM; echo ready; while :; do sleep 0.01; done", false, true},
		{"ignores", "trap '' TERM; echo ready; while :; do sleep 0.01; done", false, false},
		{"frozen", "echo ready; while :; do sleep 0.01; done", true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			logPath := filepath.Join(t.TempDir(), "log")
			p, err := Start(Command{Name: test.name, Path: "/bin/sh", Arguments: []string{"-c", test.script}, LogPath: logPath})
			if err != nil {
				t.Fatal(err)
			}
			defer p.Kill()
			for deadline := time.Now().Add(10 * time.Second); ; {
				if text, _ := os.ReadFile(logPath); len(text) > 0 {
					break
				}
				if time.Now().After(deadline) {
					t.Fatal("did not begin")
				}
				time.Sleep(time.Millisecond)
			}
			if test.freeze {
				if err := p.Freeze(); err != nil {
					t.Fatal(err)
				}
			}
			patience := 10 * time.Second
			if !test.gentle {
				patience = 50 * time.Millisecond
			}
			gentle, err := p.Stop(patience)
			if err != nil || gentle != test.gentle || p.Running() {
				t.Errorf("gentle %v, error %v, running %v", gentle, err, p.Running())
			}
		})
	}
}

func TestUsageIsRead(t *testing.T) {
	p := start(t, "-c", "while :; do sleep 1; done")
	usage, err := p.ReadUsage()
	if err != nil || usage.Resident == 0 {
		t.Errorf("usage %+v, %v", usage, err)
	}
}

func TestStartNamesTheProgram(t *testing.T) {
	if _, err := Start(Command{Name: "absent", Path: "/nonexistent/program", LogPath: filepath.Join(t.TempDir(), "log")}); err == nil {
		t.Error("no error")
	}
}
