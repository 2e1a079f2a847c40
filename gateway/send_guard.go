package gateway

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// errSendCanceled is what a write gets after its request was given up.
var errSendCanceled = errors.New("gateway: request was given up before its first byte")

// sendGuard knows whether the first byte of one request has left, and lets it
// leave only if gate agrees at that very moment.
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

// close ends the guard after an error: a request that has not been sent by now
// is never sent. It reports whether any byte may have left and the gate's denial.
func (g *sendGuard) close() (sent bool, denied error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.closed = true
	return g.sent, g.denied
}

// guardedConn asks the guard of the request that has the connection.
type guardedConn struct {
	net.Conn
	mutex sync.Mutex
	guard *sendGuard
}

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

// withGuard returns a context that arms the connection of its request with a guard.
func withGuard(ctx context.Context, guard *sendGuard) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		info.Conn.(*guardedConn).setGuard(guard) //nolint:forcetypeassert // newReplicaClient's transports dial no other kind; sending without a guard must not happen
	}})
}
