package dispatch

import (
	"context"
	"sync"
	"time"
)

// idleTimeout is how long a replica with requests in flight may send nothing before it
// is avoided, and its attempts are aborted that may be retried.
const idleTimeout = 700 * time.Millisecond

// idleWatchdog aborts an attempt when its replica sends nothing on any connection for
// the idle timeout.
type idleWatchdog struct {
	lastReceived func() time.Time
	started      time.Time
	cancel       context.CancelFunc

	mutex   sync.Mutex
	timer   *time.Timer // nil if the attempt is not watched
	stopped bool
}

// newIdleWatchdog starts a watchdog that aborts an attempt by cancel. It does nothing
// for a request that could not be sent again. The caller stops it.
func (t *transaction) newIdleWatchdog(attempt *placedAttempt, cancel context.CancelFunc) *idleWatchdog {
	w := &idleWatchdog{cancel: cancel, started: time.Now()}
	if !t.route.Retryable() || t.attempts+1 >= t.route.MaxAttempts {
		return w
	}
	backend := t.dispatcher.options.Backend
	w.lastReceived = func() time.Time { return backend.LastReceived(attempt.endpoint.Address) }
	w.timer = time.AfterFunc(idleTimeout, w.check)
	return w
}

// check aborts the attempt, or sets the timer to the earliest time at which the replica
// may have been idle for the timeout.
func (w *idleWatchdog) check() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	idleSince := w.started
	if received := w.lastReceived(); received.After(idleSince) {
		idleSince = received
	}
	remaining := idleTimeout - time.Since(idleSince)
	if remaining <= 0 {
		w.cancel()
		return
	}
	w.timer.Reset(remaining)
}

// stop ends the watch. It may be called more than once.
func (w *idleWatchdog) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
