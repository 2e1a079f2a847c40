package transport

import (
	"errors"
	"time"
)

// Timing of the liveness of a link's connection.
const (
	pingDelay           = 250 * time.Millisecond // from an unanswered frame to a ping
	unresponsiveTimeout = time.Second            // from an unanswered frame to a new connection
)

var (
	errPeerClosed   = errors.New("the peer closed the connection")
	errUnresponsive = errors.New("the peer does not respond")
	errLinkIdle     = errors.New("nothing was sent for long")
)

// livenessMonitor detects a connection whose peer no longer responds, and one that
// is no longer used. An idle connection is not pinged: only a frame that was sent
// makes a response due. Only the goroutine that writes may use it.
type livenessMonitor struct {
	connection *conn
	timer      *time.Timer
	pingDue    bool  // the timer is set for a ping, not for the idle timeout
	lastWrite  int64 // in the connection's time
	// unansweredSince is when the oldest frame was written since which nothing was
	// received, in the connection's time; 0 is none.
	unansweredSince int64
}

func newLivenessMonitor(connection *conn) *livenessMonitor {
	return &livenessMonitor{connection: connection, timer: time.NewTimer(idleLinkTimeout), lastWrite: connection.now()}
}

func (m *livenessMonitor) stop() { m.timer.Stop() }

// wrote records that a frame has just been written.
func (m *livenessMonitor) wrote() {
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

// clearAnswered takes anything that was received as the response to all frames
// written before.
func (m *livenessMonitor) clearAnswered() {
	if m.connection.lastReceived.Load() >= m.unansweredSince {
		m.unansweredSince = 0
	}
}

// check runs when the timer fired: it pings, or returns errUnresponsive or
// errLinkIdle. A large frame on its way counts as a sign of life with each chunk
// that was written.
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
