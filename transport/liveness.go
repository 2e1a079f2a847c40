package transport

import (
	"errors"
	"time"
)

// Timing of the liveness checks of a link's connection.
const (
	pingDelay           = 250 * time.Millisecond // from an unanswered frame to a ping
	unresponsiveTimeout = time.Second            // from an unanswered frame to a new connection
)

var (
	errPeerClosed   = errors.New("the peer closed the connection")
	errUnresponsive = errors.New("the peer does not respond")
	errLinkIdle     = errors.New("nothing was sent within the idle timeout")
)

// livenessMonitor detects that the peer of a connection no longer responds, or that the
// connection is no longer used. It expects a response only after a frame was sent, so an
// idle connection is not pinged. Only the goroutine that writes to the connection may
// use it.
type livenessMonitor struct {
	connection *conn
	timer      *time.Timer
	pingDue    bool  // the timer is set to pingDelay, not to the idle timeout
	lastWrite  int64 // in the time of conn.now
	// unansweredSince is the time, as given by conn.now, at which the oldest frame was
	// written after which nothing has been received; 0 means that there is none.
	unansweredSince int64
}

func newLivenessMonitor(connection *conn) *livenessMonitor {
	return &livenessMonitor{connection: connection, timer: time.NewTimer(idleLinkTimeout), lastWrite: connection.now()}
}

func (m *livenessMonitor) stop() { m.timer.Stop() }

// recordWrite records that a frame has just been written.
func (m *livenessMonitor) recordWrite() {
	m.clearAnswered()
	m.lastWrite = m.connection.now()
	if m.unansweredSince == 0 {
		m.unansweredSince = m.lastWrite
	}
	m.schedulePing()
}

func (m *livenessMonitor) schedulePing() {
	if !m.pingDue {
		m.pingDue = true
		m.timer.Reset(pingDelay)
	}
}

// clearAnswered resets unansweredSince if anything was received since then: any received
// frame counts as the response to all frames written before it.
func (m *livenessMonitor) clearAnswered() {
	if m.connection.lastReceived.Load() >= m.unansweredSince {
		m.unansweredSince = 0
	}
}

// check must be called when the timer fires. It sends a ping, or returns errUnresponsive
// or errLinkIdle. While a large frame is being written, each written chunk counts as a
// response.
func (m *livenessMonitor) check() error {
	m.pingDue = false
	m.clearAnswered()
	if m.unansweredSince == 0 {
		return m.checkIdle()
	}
	since := max(m.unansweredSince, m.connection.lastChunkWritten.Load())
	if time.Duration(m.connection.now()-since) >= unresponsiveTimeout {
		return errUnresponsive
	}
	if err := m.connection.write(0, pingFrame, unresponsiveTimeout); err != nil {
		return err
	}
	m.schedulePing()
	return nil
}

func (m *livenessMonitor) checkIdle() error {
	unused := time.Duration(m.connection.now() - m.lastWrite)
	if unused >= idleLinkTimeout {
		return errLinkIdle
	}
	m.timer.Reset(idleLinkTimeout - unused)
	return nil
}
