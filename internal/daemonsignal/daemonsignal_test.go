package daemonsignal

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// signalTimeout bounds the wait for a signal.
const signalTimeout = 5 * time.Second

func expect(t *testing.T, received <-chan os.Signal, want syscall.Signal) {
	t.Helper()
	select {
	case got := <-received:
		if got != want {
			t.Errorf("received %v, want %v", got, want)
		}
	case <-time.After(signalTimeout):
		t.Errorf("%v was not received within %v", want, signalTimeout)
	}
}

// TestNotify guards against a daemon that sees no change of its settings file without a
// signal, and against a SIGTERM that is dropped while a SIGHUP waits.
func TestNotify(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte("a"), 0o600); err != nil {
		t.Fatal(err)
	}
	signals, stop := Notify(path)
	defer stop()
	if err := os.WriteFile(path, []byte("b"), 0o600); err != nil {
		t.Fatal(err)
	}
	expect(t, signals.HangUp, syscall.SIGHUP)
	for _, sent := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM} {
		if err := syscall.Kill(os.Getpid(), sent); err != nil {
			t.Fatal(err)
		}
	}
	expect(t, signals.Terminate, syscall.SIGTERM)
	expect(t, signals.HangUp, syscall.SIGHUP)
}
