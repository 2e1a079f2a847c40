// Package daemonsignal receives the signals of a daemon: those that end it, and SIGHUP, which
// means that its settings have changed.
package daemonsignal

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/deckpulley/deckpulley/internal/filewatch"
	_ "github.com/deckpulley/deckpulley/internal/startsignal" // SIGHUP before Notify ends no daemon
)

// Signals are the channels of a daemon's signals. SIGHUP has its own: package signal drops a
// signal if the channel is full, and a pending reload must not cause a termination signal
// to be dropped.
type Signals struct {
	// Terminate receives SIGTERM and SIGINT.
	Terminate <-chan os.Signal
	// HangUp receives SIGHUP, and one too when the content of the settings file has changed.
	HangUp <-chan os.Signal
}

// Notify receives signals, and watches the settings file at a path unless it is empty, until
// stop is called. A daemon calls it before it reads its settings, so that no change of them
// is missed.
func Notify(path string) (signals Signals, stop func()) {
	terminate, hangUp := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hangUp, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	if path != "" {
		go filewatch.New(path).Run(ctx, func() {
			select {
			case hangUp <- syscall.SIGHUP:
			default: // one is waiting
			}
		})
	}
	return Signals{Terminate: terminate, HangUp: hangUp}, func() {
		cancel()
		signal.Stop(terminate)
		signal.Stop(hangUp)
	}
}
