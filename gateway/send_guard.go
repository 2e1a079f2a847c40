package gateway

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// errSendCanceled is returned by writes after the request was given up.
var errSendCanceled = errors.New("gateway: request was given up before its first byte")

// sendGuard records whether the first byte of a request was sent, and lets it be sent
// only if check returns nil at that moment.
type sendGuard struct {
	check func() error

	mutex  sync.Mutex
	sent   bool
	closed bool
	denied error
}

// allowWrite is called before each write to the replica.
func (g *sendGuard) allowWrite() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.sent {
		return nil
	}
	if g.closed {
		return errSendCanceled
	}
	if err := g.check(); err != nil {
		g.denied = err
		g.closed = true
		return err
	}
	g.sent = true
	return nil
}

// close prevents the request from being sent after an error. It reports whether any
// byte may have been sent, and the error of check.
func (g *sendGuard) close() (sent bool, denied error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.closed = true
	return g.sent, g.denied
}

// guardedConn asks the guard of the current request before each write.
type guardedConn struct {
	net.Conn
	mutex sync.Mutex
	guard *sendGuard
}

// setGuard attaches the guard of the request that uses the connection.
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

// withGuard returns a context whose request sets the guard on its connection.
func withGuard(ctx context.Context, guard *sendGuard) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		info.Conn.(*guardedConn).setGuard(guard) //nolint:forcetypeassert // newReplicaClient's transports dial no other kind; sending without a guard must not happen
	}})
}
