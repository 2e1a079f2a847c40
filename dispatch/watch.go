package dispatch

import (
	"context"
	"sync"
	"time"
)

// silenceWatch breaks an attempt off when its replica sends nothing at all, on
// any connection, for too long. It is for requests that may be repeated only.
type silenceWatch struct {
	mutex  sync.Mutex
	timer  *time.Timer
	ended  bool
	heard  func() time.Time
	since  time.Time
	cancel context.CancelFunc
}

// watchSilence begins to watch an attempt. It does nothing for a request that
// could not be sent again.
func (r *run) watchSilence(at *placed, cancel context.CancelFunc) *silenceWatch {
	w := &silenceWatch{cancel: cancel, since: time.Now()}
	if !r.route.Retryable() || r.attempts+1 >= r.route.MaxAttempts {
		return w
	}
	w.heard = func() time.Time { return r.dispatcher.options.Backend.LastReceived(at.endpoint.Address) }
	w.timer = time.AfterFunc(silence, w.look)
	return w
}

// look ends the attempt or waits on.
func (w *silenceWatch) look() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.ended {
		return
	}
	since := w.since
	if heard := w.heard(); heard.After(since) {
		since = heard
	}
	left := silence - time.Since(since)
	if left <= 0 {
		w.cancel()
		return
	}
	w.timer.Reset(left)
}

// stop ends the watch.
func (w *silenceWatch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
