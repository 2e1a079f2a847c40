package dispatch

import (
	"context"
	"sync"
	"time"
)

// idleTimeout is how long a replica with requests in flight may send nothing. After that
// it is avoided, and those of its attempts that can be retried are aborted.
const idleTimeout = 700 * time.Millisecond

// idleWatchdog aborts an attempt if its replica sends nothing on any connection for
// idleTimeout.
type idleWatchdog struct {
	lastReceived func() time.Time
	started      time.Time
	cancel       context.CancelFunc

	mutex   sync.Mutex
	timer   *time.Timer // nil if the attempt is not watched
	stopped bool
}

// newIdleWatchdog starts a watchdog that calls cancel to abort an attempt. The watchdog is
// inactive if the route permits no attempt after this one. The caller must stop it.
func (t *transaction) newIdleWatchdog(attempt *placedAttempt, cancel context.CancelFunc) *idleWatchdog {
	w := &idleWatchdog{cancel: cancel, started: time.Now()}
	if !t.route.Retryable() || t.possibleRuns+1 >= t.route.MaxAttempts {
		return w
	}
	backend := t.dispatcher.options.Backend
	w.lastReceived = func() time.Time { return backend.LastReceived(attempt.endpoint.Address) }
	w.timer = time.AfterFunc(idleTimeout, w.check)
	return w
}

// check aborts the attempt if the replica has been idle for idleTimeout. Otherwise it sets
// the timer to the earliest time at which that can be the case.
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

// stop stops the watchdog. It may be called more than once.
func (w *idleWatchdog) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
