package connlimit

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// fakeConn records whether it was closed.
type fakeConn struct {
	net.Conn
	closed bool
}

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

// openConnections opens connections one after the other at different times.
func openConnections(server *http.Server, count int) []*fakeConn {
	var conns []*fakeConn
	for range count {
		time.Sleep(time.Millisecond)
		conn := &fakeConn{}
		server.ConnState(conn, http.StateNew)
		conns = append(conns, conn)
	}
	return conns
}

// receiveRequest simulates a connection on which a complete request was received.
func receiveRequest(server *http.Server, conn net.Conn) {
	server.ConnState(conn, http.StateActive)
	MarkHandling(server.ConnContext(context.Background(), conn))
}

// TestLimiter verifies which connection is closed when one more than the limit is
// opened.
func TestLimiter(t *testing.T) {
	tests := []struct {
		name   string
		change func(server *http.Server, conns []*fakeConn)
		closed []bool // for each connection, after one more was opened than the limit
	}{
		{"all idle: the oldest is closed", func(*http.Server, []*fakeConn) {}, []bool{true, false, false, false}},
		{"a connection that handles a request stays open", func(server *http.Server, conns []*fakeConn) {
			receiveRequest(server, conns[0])
		}, []bool{false, true, false, false}},
		{"a connection is idle after its response", func(server *http.Server, conns []*fakeConn) {
			for _, conn := range conns {
				receiveRequest(server, conn)
			}
			server.ConnState(conns[1], http.StateIdle)
		}, []bool{false, true, false, false}},
		{"all handle requests: the new one is closed", func(server *http.Server, conns []*fakeConn) {
			for _, conn := range conns {
				receiveRequest(server, conn)
			}
		}, []bool{false, false, false, true}},
		{"a closed connection does not count", func(server *http.Server, conns []*fakeConn) {
			server.ConnState(conns[2], http.StateClosed)
		}, []bool{false, false, false, false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := &http.Server{}
				NewLimiter(3).Attach(server)
				conns := openConnections(server, 3)
				test.change(server, conns)
				conns = append(conns, openConnections(server, 1)...)
				for i, conn := range conns {
					if conn.closed != test.closed[i] {
						t.Errorf("connection %d: closed %t, want %t", i, conn.closed, test.closed[i])
					}
				}
			})
		})
	}
}

// TestMarkHandlingWithoutLimiter verifies that MarkHandling accepts the context of a
// request whose server has no limiter.
func TestMarkHandlingWithoutLimiter(t *testing.T) {
	MarkHandling(t.Context()) // must not panic
}
