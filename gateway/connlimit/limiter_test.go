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

// open opens connections one after the other, each at a time of its own.
func open(server *http.Server, count int) []*fakeConn {
	var conns []*fakeConn
	for range count {
		time.Sleep(time.Millisecond)
		conn := &fakeConn{}
		server.ConnState(conn, http.StateNew)
		conns = append(conns, conn)
	}
	return conns
}

// receive has a connection receive a complete request.
func receive(server *http.Server, conn net.Conn) {
	server.ConnState(conn, http.StateActive)
	MarkHandling(server.ConnContext(context.Background(), conn))
}

func TestLimiter(t *testing.T) {
	tests := []struct {
		name   string
		change func(server *http.Server, conns []*fakeConn)
		closed []bool // after one connection more than the limit
	}{
		{"oldest idle connection", func(*http.Server, []*fakeConn) {}, []bool{true, false, false, false}},
		{"handled request is kept", func(server *http.Server, conns []*fakeConn) {
			receive(server, conns[0])
		}, []bool{false, true, false, false}},
		{"answered connection is idle again", func(server *http.Server, conns []*fakeConn) {
			for _, conn := range conns {
				receive(server, conn)
			}
			server.ConnState(conns[1], http.StateIdle)
		}, []bool{false, true, false, false}},
		{"all handle requests", func(server *http.Server, conns []*fakeConn) {
			for _, conn := range conns {
				receive(server, conn)
			}
		}, []bool{false, false, false, true}},
		{"closed connection counts no more", func(server *http.Server, conns []*fakeConn) {
			server.ConnState(conns[2], http.StateClosed)
		}, []bool{false, false, false, false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := &http.Server{}
				NewLimiter(3).Attach(server)
				conns := open(server, 3)
				test.change(server, conns)
				conns = append(conns, open(server, 1)...)
				for i, conn := range conns {
					if conn.closed != test.closed[i] {
						t.Errorf("connection %d: closed %t, want %t", i, conn.closed, test.closed[i])
					}
				}
			})
		})
	}
}

func TestMarkHandlingWithoutLimiter(t *testing.T) {
	MarkHandling(t.Context()) // a request of another server changes nothing
}
