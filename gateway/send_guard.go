package gateway

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// errSendCanceled is returned by writes after the guard was closed.
var errSendCanceled = errors.New("gateway: request was canceled before its first byte was sent")

// sendGuard decides, at the moment when the first byte of a request is about to be sent
// to a replica, whether the request may be sent, and records whether it was.
type sendGuard struct {
	check func() error // allows the first byte by returning nil

	mutex  sync.Mutex
	sent   bool  // check has allowed the first byte
	closed bool  // nothing may be sent any more, unless sent is true
	denied error // the error that check returned
}

// allowWrite is called before each write to the replica. It returns nil if the write is
// allowed. Once the first byte was allowed, all further writes are.
func (s *sendGuard) allowWrite() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.sent {
		return nil
	}
	if s.closed {
		return errSendCanceled
	}
	if err := s.check(); err != nil {
		s.denied = err
		s.closed = true
		return err
	}
	s.sent = true
	return nil
}

// close prevents that the request is still sent after its attempt has failed. It reports
// whether any byte may have been sent, and the error of check if it denied the first byte.
func (s *sendGuard) close() (sent bool, denied error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	return s.sent, s.denied
}

// guardedConn is a connection that asks the guard of the current request before each
// write.
type guardedConn struct {
	net.Conn
	mutex sync.Mutex
	guard *sendGuard
}

// setGuard sets the guard of the request that uses the connection from now on.
func (c *guardedConn) setGuard(guard *sendGuard) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.guard = guard
}

// Write implements net.Conn.
func (c *guardedConn) Write(data []byte) (int, error) {
	c.mutex.Lock()
	guard := c.guard
	c.mutex.Unlock()
	if guard != nil {
		if err := guard.allowWrite(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(data)
}

// withGuard returns a context for a request. When the request gets its connection, the
// guard is attached to that connection.
func withGuard(ctx context.Context, guard *sendGuard) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		info.Conn.(*guardedConn).setGuard(guard) //nolint:forcetypeassert // newReplicaClient dials only guardedConn; a request must not be sent without a guard
	}})
}
