package transport

import (
	"context"
	"net"
	"time"

	"github.com/deckpulley/deckpulley/internal/sockets"
)

// fabric makes connections: over TCP, or within a process for tests.
type fabric interface {
	listen(address string) (net.Listener, error)
	dial(ctx context.Context, address string, what purpose) (net.Conn, error)
	// reusable says that an idle connection has neither ended nor holds unread bytes.
	reusable(raw net.Conn) bool
}

// Bounds of silence on TCP itself; pings find a silent peer sooner.
const (
	keepAliveIdle     = 10 * time.Second
	keepAliveInterval = 3 * time.Second
	keepAliveCount    = 3
	unacknowledged    = 3 * time.Second
)

type tcpFabric struct{}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

func (tcpFabric) listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive()}
	return config.Listen(context.Background(), "tcp", address)
}

func (tcpFabric) dial(ctx context.Context, address string, what purpose) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive()}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if what == purposeMessages {
		sockets.BoundUnacknowledged(raw, unacknowledged)
	}
	return raw, nil
}

func (tcpFabric) reusable(raw net.Conn) bool { return sockets.Quiet(raw) }
