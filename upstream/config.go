package upstream

import (
	"context"
	"net"
	"time"
)

// Default values of the fields of Config.
const (
	DefaultDialTimeout           = 300 * time.Millisecond
	DefaultUnacknowledgedTimeout = 1500 * time.Millisecond
	DefaultIdleTimeout           = 4 * time.Second
	// DefaultMaxResponseHeaderBytes is far above what replicas send, and small beside the
	// memory of a process that has hundreds of requests in flight.
	DefaultMaxResponseHeaderBytes = 64 << 10
)

// Config configures a Pool. A zero timeout or size selects its default.
type Config struct {
	// DialTimeout is the maximum time to establish a connection.
	DialTimeout time.Duration
	// UnacknowledgedTimeout is how long sent data may remain unacknowledged before
	// the kernel closes the connection (TCP_USER_TIMEOUT).
	UnacknowledgedTimeout time.Duration
	// IdleTimeout is how long an idle connection stays in the pool if its replica
	// announces no timeout in a Keep-Alive header.
	IdleTimeout time.Duration
	// MaxResponseHeaderBytes is the maximum size of the header of a response, including
	// those of informational responses before it. Each line is charged 128 bytes in
	// addition to its own. A larger header fails the request. Raising the limit raises
	// the memory that a faulty replica can take for each request in flight.
	MaxResponseHeaderBytes int
	// OnConnect, if set, is called for each new connection with the time that it
	// took to establish the connection. It must not block.
	OnConnect func(address string, took time.Duration)
	// Dial, if set, replaces the TCP dialer. It is meant for tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// setDefault sets a field that is zero to value.
func setDefault[T time.Duration | int](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
