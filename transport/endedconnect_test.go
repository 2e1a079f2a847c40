package transport

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// endingFabric ends a context with the last step of each handshake that is dialled.
type endingFabric struct {
	fabric
	end context.CancelFunc
}

func (f endingFabric) dial(ctx context.Context, address string, what purpose) (net.Conn, error) {
	raw, err := f.fabric.dial(ctx, address, what)
	return &endingConn{Conn: raw, end: f.end}, err
}

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

// TestConnectionThatEndsWithItsHandshakeIsNotUsed: the context that ends closes the
// connection. A request written to it would count as one that the peer may have seen.
func TestConnectionThatEndsWithItsHandshakeIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, _, _ := memoryPair(t, Config{})
		ctx, cancel := context.WithCancel(t.Context())
		a.fabric = endingFabric{fabric: a.fabric, end: cancel}
		connection, err := a.connect(ctx, "b", purposeMessages, time.Second)
		if err == nil {
			a.release(connection.raw)
		}
		if !errors.Is(err, ErrNotSent) || !errors.Is(err, context.Canceled) {
			t.Errorf("connecting returned %v, want that nothing was sent and why", err)
		}
	})
}
