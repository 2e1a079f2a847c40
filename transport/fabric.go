package transport

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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
		boundUnacknowledged(raw)
	}
	return raw, nil
}

// boundUnacknowledged lets the kernel give up a connection whose data is not
// acknowledged in time. Without it pings still find the loss.
func boundUnacknowledged(raw net.Conn) {
	system, ok := raw.(syscall.Conn)
	if !ok {
		return
	}
	control, err := system.SyscallConn()
	if err != nil {
		return
	}
	_ = control.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
}

func (tcpFabric) reusable(raw net.Conn) bool {
	system, ok := raw.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := system.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, failure := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = failure == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
