package transport

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// endingFabric calls end in the last step of each handshake of a dialed connection.
type endingFabric struct {
	fabric
	end context.CancelFunc
}

func (f endingFabric) dial(ctx context.Context, address string, what purpose) (net.Conn, error) {
	raw, err := f.fabric.dial(ctx, address, what)
	return &endingConn{Conn: raw, end: f.end}, err
}

// endingConn calls end when its deadline is cleared, which is the last step of the
// handshake.
type endingConn struct {
	net.Conn
	end context.CancelFunc
}

func (c *endingConn) SetDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		c.end()
	}
	return c.Conn.SetDeadline(deadline)
}

// TestConnectFailsIfContextEndsDuringHandshake checks that connect fails if its context
// ends while the handshake completes. The end of the context closes the connection, and a
// request written to it would be reported as one that the peer may have seen.
func TestConnectFailsIfContextEndsDuringHandshake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, _, _ := memoryPair(t, Config{})
		ctx, cancel := context.WithCancel(t.Context())
		a.fabric = endingFabric{fabric: a.fabric, end: cancel}
		connection, err := a.connect(ctx, "b", purposeMessages, time.Second)
		if err == nil {
			a.release(connection.raw)
		}
		if !errors.Is(err, ErrNotSent) || !errors.Is(err, context.Canceled) {
			t.Errorf("connect returned %v, want an error that wraps ErrNotSent and context.Canceled", err)
		}
	})
}
