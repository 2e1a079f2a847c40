package relay

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

const (
	// firstRetransmission is the time after which TCP sends a packet again that was not
	// acknowledged. Each further time is twice as long, up to maxRetransmission.
	firstRetransmission = 200 * time.Millisecond
	maxRetransmission   = 2 * time.Minute
	// usualBacklog is the length of the queue of connections that wait to be accepted.
	usualBacklog = 128
	// fillTimeout bounds the dialing of the connection that fills an empty queue.
	fillTimeout = 100 * time.Millisecond
)

// NewLossy returns a network without links whose cuts lose packets, as those of real networks
// do: a connection that is opened during a cut hangs until its sender gives up or repeats its
// opening packet after the cut, and what a connection held back arrives with TCP's next
// retransmission, which is the later the longer the cut was.
func NewLossy() *Network {
	n := New()
	n.lossy = true
	return n
}

// nextRetransmission returns when data that was first sent at a time arrives over a link that
// loses packets until a later time.
func nextRetransmission(sent, healed time.Time) time.Time {
	interval := firstRetransmission
	next := sent
	for next.Before(healed) {
		next = next.Add(interval)
		interval = min(2*interval, maxRetransmission)
	}
	return next
}

// silence makes a listener ignore the opening packets of new connections: its queue gets the
// length 0 and is filled with a connection of its own, which is returned.
func silence(listener *net.TCPListener) (filler net.Conn, err error) {
	if err := setBacklog(listener, 0); err != nil {
		return nil, err
	}
	filler, err = net.DialTimeout("tcp", listener.Addr().String(), fillTimeout)
	if err != nil {
		return nil, nil //nolint:nilerr,nilnil // another connection fills the queue already
	}
	return filler, nil
}

// setBacklog changes the length of the queue of a listener.
func setBacklog(listener *net.TCPListener, length int) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	var listenErr error
	err = raw.Control(func(descriptor uintptr) { listenErr = syscall.Listen(int(descriptor), length) })
	if err == nil {
		err = listenErr
	}
	if err != nil {
		return fmt.Errorf("relay: setting the backlog of %s: %w", listener.Addr(), err)
	}
	return nil
}
