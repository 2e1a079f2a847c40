package transport

import (
	"context"
	"net"
	"time"

	"github.com/deckpulley/deckpulley/internal/sockets"
)

// fabric creates listeners and connections, over TCP or within one process for tests.
type fabric interface {
	listen(address string) (net.Listener, error)
	dial(ctx context.Context, address string, use purpose) (net.Conn, error)
	// reusable reports whether an idle connection is open and has no unread bytes.
	reusable(raw net.Conn) bool
}

// Timeouts of TCP itself. The pings of links and streams detect an unresponsive peer
// sooner; these timeouts end the connections on which no pings are sent.
const (
	keepAliveIdle         = 10 * time.Second
	keepAliveInterval     = 3 * time.Second
	keepAliveCount        = 3
	unacknowledgedTimeout = 3 * time.Second
)

// tcpFabric implements fabric over TCP.
type tcpFabric struct{}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

func (tcpFabric) listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive()}
	return config.Listen(context.Background(), "tcp", address)
}

func (tcpFabric) dial(ctx context.Context, address string, use purpose) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive()}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if use == purposeMessages {
		sockets.BoundUnacknowledged(raw, unacknowledgedTimeout)
	}
	return raw, nil
}

func (tcpFabric) reusable(raw net.Conn) bool { return sockets.Quiet(raw) }
