package upstream

import (
	"context"
	"net"
	"time"
)

// Defaults of Config.
const (
	DefaultDialTimeout           = 300 * time.Millisecond
	DefaultUnacknowledgedTimeout = 1500 * time.Millisecond
	DefaultIdleTimeout           = 4 * time.Second
)

// Config configures a Pool. Each zero field stands for its default.
type Config struct {
	// DialTimeout bounds the time to establish a connection.
	DialTimeout time.Duration
	// UnacknowledgedTimeout is how long sent bytes may stay unacknowledged before
	// the kernel closes the connection.
	UnacknowledgedTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if its replica announces
	// no timeout in a Keep-Alive header.
	IdleTimeout time.Duration
	// OnConnect, if set, is called for each new connection with the time that it
	// took to establish. It must not block.
	OnConnect func(address string, took time.Duration)
	// Dial replaces the dialing of TCP, for tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}
