package transport

import (
	"errors"
	"time"
)

var (
	errPeerClosed = errors.New("the peer closed the connection")
	errSilent     = errors.New("the peer fell silent")
)

// probe finds a connection whose peer no longer answers, and one that is no
// longer used. Only the goroutine that writes may use it.
type probe struct {
	connection *conn
	timer      *time.Timer
	armed      bool  // the timer is set for a ping, not for idleness
	lastWrite  int64 // in the connection's time
	// unanswered is when the oldest frame was written after which nothing was
	// heard, in the connection's time; 0 is none.
	unanswered int64
}

func newProbe(connection *conn) *probe {
	return &probe{connection: connection, timer: time.NewTimer(linkIdle), lastWrite: connection.now()}
}

func (p *probe) stop() { p.timer.Stop() }

// wrote notes that a frame has just been written.
func (p *probe) wrote() {
	p.settle()
	p.lastWrite = p.connection.now()
	if p.unanswered == 0 {
		p.unanswered = p.lastWrite
	}
	p.arm()
}

func (p *probe) arm() {
	if !p.armed {
		p.armed = true
		p.timer.Reset(probeAfter)
	}
}

// settle forgets what has been answered.
func (p *probe) settle() {
	if p.connection.heard.Load() >= p.unanswered {
		p.unanswered = 0
	}
}

// check runs when the timer fired: it pings, or reports silence or idleness.
func (p *probe) check() error {
	p.armed = false
	p.settle()
	if p.unanswered == 0 {
		return p.checkIdle()
	}
	since := max(p.unanswered, p.connection.progress.Load())
	if time.Duration(p.connection.now()-since) >= silenceLimit {
		return errSilent
	}
	if err := p.connection.write(0, pingFrame, silenceLimit); err != nil {
		return err
	}
	p.arm()
	return nil
}

func (p *probe) checkIdle() error {
	unused := time.Duration(p.connection.now() - p.lastWrite)
	if unused >= linkIdle {
		return errLinkIdle
	}
	p.timer.Reset(linkIdle - unused)
	return nil
}
